package loadbalancer.routing.api;

/**
 * Time limits and capacity limits that a balancer must observe.
 *
 * @param responseSlackMicros how long after its deadline a final response may be sent, µs
 * @param drainGraceMicros how long a draining endpoint finishes its requests, µs
 * @param pollDeadlineMicros how long discovery may take to respond, µs
 * @param initialCapacityFraction the fraction of its capacity that an endpoint has when it starts
 * @param slowStartMicros the time from its start until an endpoint has its full capacity, µs
 * @param overloadFactor the multiple of its capacity that overloads an endpoint in slow start
 * @param overloadWindowMicros the time window over which this overload is measured, µs
 * @param keyCooldownMicros the cooldown of a key after an attempt that may still be running, µs
 */
public record RoutingBounds(
        long responseSlackMicros,
        long drainGraceMicros,
        long pollDeadlineMicros,
        double initialCapacityFraction,
        long slowStartMicros,
        double overloadFactor,
        long overloadWindowMicros,
        long keyCooldownMicros) {
    /**
     * Checks the values.
     *
     * @throws InvalidSettingException if a value is out of its range
     */
    public RoutingBounds {
        SettingsValidation.require(keyCooldownMicros >= 0, "orderPause", keyCooldownMicros);
        SettingsValidation.require(
                initialCapacityFraction > 0 && initialCapacityFraction <= 1,
                "coldFrom",
                initialCapacityFraction);
        SettingsValidation.require(slowStartMicros >= 0, "rampTime", slowStartMicros);
        SettingsValidation.require(overloadFactor > 0, "overloadFactor", overloadFactor);
        SettingsValidation.require(overloadWindowMicros >= 0, "fallWindow", overloadWindowMicros);
    }
}
