package loadbalancer.routing.api;

/**
 * Figures of the rules that a balancer must keep.
 *
 * @param responseSlackMicros how much later than its deadline a final answer may be, µs
 * @param drainGraceMicros how long a draining endpoint finishes its requests, µs
 * @param pollDeadlineMicros how long discovery may take to answer, µs
 * @param initialCapacityFraction the part of its capacity that a started endpoint has at once
 * @param slowStartMicros how long after its start an endpoint reaches its full capacity, µs
 * @param overloadFactor the multiple of its capacity that overloads an endpoint in slow start
 * @param overloadWindowMicros the window over which this is measured, µs
 * @param keyCooldownMicros how long a key waits after an attempt that may still run, µs
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
     * @throws InvalidSettingException if one is out of its range
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
