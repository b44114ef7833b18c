package loadbalancer.routing.api;

/**
 * An entry of the endpoint list.
 *
 * @param id the opaque id, unique in the list
 * @param status whether it takes requests
 * @param startedAtMicros when its process started, µs; 0 if it started long ago
 * @param weight its capacity relative to other endpoints
 * @param cell the number of its cell, or -1
 * @param machineType the number of its machine type, or -1
 * @param zone the number of its zone, or -1
 */
public record Endpoint(
        String id,
        EndpointStatus status,
        long startedAtMicros,
        double weight,
        int cell,
        int machineType,
        int zone) {
    /** Returns the same endpoint with another status. */
    public Endpoint withStatus(EndpointStatus newStatus) {
        return new Endpoint(id, newStatus, startedAtMicros, weight, cell, machineType, zone);
    }
}
