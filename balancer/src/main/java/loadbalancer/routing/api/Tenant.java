package loadbalancer.routing.api;

/**
 * A tenant of the service.
 *
 * @param quotaPerSecond the quota in requests per second, over all balancers
 */
public record Tenant(double quotaPerSecond) {
    /**
     * Checks the value.
     *
     * @throws InvalidSettingException if the quota is negative
     */
    public Tenant {
        SettingsValidation.require(quotaPerSecond >= 0, "allowancePerSecond", quotaPerSecond);
    }
}
