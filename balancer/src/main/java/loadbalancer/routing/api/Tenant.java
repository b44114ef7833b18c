package loadbalancer.routing.api;

/** A tenant: requests per second within its share, over all balancers. */
public record Tenant(double quotaPerSecond) {
    public Tenant {
        SettingsValidation.require(quotaPerSecond >= 0, "allowancePerSecond", quotaPerSecond);
    }
}
