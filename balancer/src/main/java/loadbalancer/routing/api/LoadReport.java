package loadbalancer.routing.api;

/**
 * The load of an endpoint as it reports it. A figure that the report does not carry is NaN.
 *
 * @param inFlight requests in flight at it
 * @param queued requests that wait there
 * @param utilization part of its capacity in use
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
