package loadbalancer.routing.api;

/**
 * The load that an endpoint reports. A value that the report does not contain is NaN.
 *
 * @param inFlight number of requests in flight at the endpoint
 * @param queued number of requests queued at the endpoint
 * @param utilization fraction of its capacity that is in use
 * @param recentLatencyMicros latency of its recent requests, µs
 * @param throughput requests per second
 * @param errorsPerSecond errors per second
 */
public record LoadReport(
        double inFlight,
        double queued,
        double utilization,
        double recentLatencyMicros,
        double throughput,
        double errorsPerSecond) {}
