package loadbalancer.routing.api;

import java.util.Set;

/**
 * A class of requests: what they need and what their answers earn.
 *
 * @param idempotency whether a request may be sent again
 * @param deduplicationScope which endpoints recognize its idempotency key
 * @param idempotencyWindowMicros for how long they do, µs from the first attempt
 * @param latencyObjectiveMicros µs within which an answer earns {@code priorityWeight}
 * @param deadlineMicros µs within which an answer earns {@code lateWeightFactor} of it
 * @param objectiveMicrosPerWorkUnit µs by which each unit of a work hint lengthens the objective
 * @param priorityWeight what an answer in time earns
 * @param lateWeightFactor the part of it that a late answer earns
 * @param streamed whether answers are streamed
 * @param ordered whether requests with one key run one at a time, in the order of their arrival
 * @param allowedZones the zones whose endpoints may be used; empty: all
 * @param allowedMachineTypes the machine types whose endpoints may be used; empty: all
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
    /**
     * Copies the sets and checks the values.
     *
     * @throws InvalidSettingException if a time is out of its range
     */
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

    /** Whether an endpoint is in a zone and of a machine type that the class allows. */
    public boolean allowsPlacementOn(Endpoint endpoint) {
        return (allowedZones.isEmpty() || allowedZones.contains(endpoint.zone()))
                && (allowedMachineTypes.isEmpty()
                        || allowedMachineTypes.contains(endpoint.machineType()));
    }

    /** A class that needs no order and may be placed everywhere. */
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
