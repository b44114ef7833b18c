package loadbalancer.routing.api;

/**
 * The figures of the rules; {@code keyCooldownMicros}: a key's rest after an attempt that may still
 * run.
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
