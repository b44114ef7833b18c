package loadbalancer.routing.api;

/**
 * One entry of the list. {@code startedAtMicros} is 0 where the last start is long past; {@code
 * weight} compares servers only; {@code cell}, {@code machineType} and {@code zone} are numbers, or
 * -1.
 */
public record Endpoint(
        String id,
        EndpointStatus status,
        long startedAtMicros,
        double weight,
        int cell,
        int machineType,
        int zone) {
    /** The same server in another state. */
    public Endpoint withStatus(EndpointStatus newStatus) {
        return new Endpoint(id, newStatus, startedAtMicros, weight, cell, machineType, zone);
    }
}
