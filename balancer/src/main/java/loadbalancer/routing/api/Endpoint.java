package loadbalancer.routing.api;

/**
 * One entry of the endpoint list.
 *
 * @param id opaque, unique in the list
 * @param startedAtMicros when its process started; 0 if that is long past
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
    /** The same endpoint with another status. */
    public Endpoint withStatus(EndpointStatus newStatus) {
        return new Endpoint(id, newStatus, startedAtMicros, weight, cell, machineType, zone);
    }
}
