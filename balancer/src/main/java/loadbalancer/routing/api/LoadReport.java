package loadbalancer.routing.api;

/**
 * A server's own report; a figure that it doesn't carry is NaN. {@code recentLatencyMicros} is in
 * µs.
 */
public record LoadReport(
        double inFlight,
        double queued,
        double utilization,
        double recentLatencyMicros,
        double throughput,
        double errorsPerSecond) {}
