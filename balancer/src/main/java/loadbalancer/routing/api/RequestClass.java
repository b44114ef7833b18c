package loadbalancer.routing.api;

import java.util.Set;

/**
 * A class of requests: an answer within {@code latencyObjectiveMicros} earns {@code
 * priorityWeight}, one before {@code deadline} the {@code lateWeightFactor} of it. {@code
 * objectiveMicrosPerWorkUnit} lengthens the aim by that multiple of the request's work. {@code
 * ordered}: requests with one key run one at a time, in the order taken. {@code allowedZones} and
 * {@code allowedMachineTypes} are the only ones whose servers may be sent to; empty: all.
 */
public record RequestClass(
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        long idempotencyWindowMicros,
        long latencyObjectiveMicros,
        long deadlineMicros,
        double objectiveMicrosPerWorkUnit,
        double priorityWeight,
        double lateWeightFactor,
        boolean streamed,
        boolean ordered,
        Set<Integer> allowedZones,
        Set<Integer> allowedMachineTypes) {
    public RequestClass {
        allowedZones = Set.copyOf(allowedZones);
        allowedMachineTypes = Set.copyOf(allowedMachineTypes);
        SettingsValidation.require(latencyObjectiveMicros > 0, "aim", latencyObjectiveMicros);
        SettingsValidation.require(deadlineMicros > 0, "deadline", deadlineMicros);
        SettingsValidation.require(
                idempotencyWindowMicros >= 0, "keyMemory", idempotencyWindowMicros);
        SettingsValidation.require(
                objectiveMicrosPerWorkUnit >= 0, "aimStretch", objectiveMicrosPerWorkUnit);
    }

    /** Rule 6: a class may be bound to zones and kinds of machine, at every attempt. */
    public boolean allowsPlacementOn(Endpoint endpoint) {
        return (allowedZones.isEmpty() || allowedZones.contains(endpoint.zone()))
                && (allowedMachineTypes.isEmpty()
                        || allowedMachineTypes.contains(endpoint.machineType()));
    }

    /** A class without order or placement. */
    public RequestClass(
            Idempotency idempotency,
            DeduplicationScope deduplicationScope,
            long idempotencyWindowMicros,
            long latencyObjectiveMicros,
            long deadlineMicros,
            double objectiveMicrosPerWorkUnit,
            double priorityWeight,
            double lateWeightFactor,
            boolean streamed) {
        this(
                idempotency,
                deduplicationScope,
                idempotencyWindowMicros,
                latencyObjectiveMicros,
                deadlineMicros,
                objectiveMicrosPerWorkUnit,
                priorityWeight,
                lateWeightFactor,
                streamed,
                false,
                Set.of(),
                Set.of());
    }
}
