package loadbalancer.routing.api;

import java.util.Set;

/**
 * The requirements of a class of requests, and the weights of their responses.
 *
 * @param idempotency whether a request may be sent again
 * @param deduplicationScope which endpoints recognize its idempotency key
 * @param idempotencyWindowMicros how long they recognize it, µs from the first attempt
 * @param latencyObjectiveMicros µs within which a response counts with {@code priorityWeight}
 * @param deadlineMicros µs within which a late response still counts
 * @param objectiveMicrosPerWorkUnit µs that each unit of a work hint adds to the objective
 * @param priorityWeight the weight of a response within the latency objective
 * @param lateWeightFactor the fraction of {@code priorityWeight} with which a late response counts
 * @param streamed whether responses are streamed
 * @param ordered whether requests with one key run one at a time, in the order of their arrival
 * @param allowedZones the zones whose endpoints may be used; empty for all zones
 * @param allowedMachineTypes the machine types whose endpoints may be used; empty for all types
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

    /** Returns whether the class allows the zone and the machine type of an endpoint. */
    public boolean allowsPlacementOn(Endpoint endpoint) {
        return (allowedZones.isEmpty() || allowedZones.contains(endpoint.zone()))
                && (allowedMachineTypes.isEmpty()
                        || allowedMachineTypes.contains(endpoint.machineType()));
    }

    /** Creates a class that is not ordered and may use all zones and machine types. */
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
