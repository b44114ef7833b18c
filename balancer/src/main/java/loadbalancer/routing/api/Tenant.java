package loadbalancer.routing.api;

/**
 * A tenant of the service.
 *
 * @param quotaPerSecond requests per second within its quota, over all balancers
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
