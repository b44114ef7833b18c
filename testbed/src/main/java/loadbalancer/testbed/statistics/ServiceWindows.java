package loadbalancer.testbed.statistics;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import loadbalancer.testbed.invariant.ClientRequest;
import loadbalancer.testbed.scenario.Scenario;
import org.HdrHistogram.Histogram;

/**
 * Counts the outcomes of client requests in windows of 100 ms by arrival time, and records their
 * latencies by class and zone. A request counts as served if its response arrived within the
 * latency objective of its class, and as late if it arrived after that. Not thread-safe.
 */
public final class ServiceWindows {
    /** Length of a window in µs. */
    public static final long WINDOW_MICROS = 100_000;

    // Number of consecutive windows over which the served fraction must be restored
    private static final int RECOVERY_WINDOWS = 10;
    // Minimum ratio of the served fraction to that before the fault for service to be recovered
    private static final double RECOVERY_FRACTION = 0.95;
    // Length of the baseline period before a fault and of the search for a drop after it
    private static final long BASELINE_MICROS = 5_000_000;

    // Significant digits of recorded latencies
    private static final int HISTOGRAM_DIGITS = 3;

    private final Scenario scenario;
    private final List<Window> windows = new ArrayList<>();
    private final SortedMap<String, Histogram> latencies = new TreeMap<>();
    private double requestedWeight;
    private double earnedWeight;

    /** Counts of the requests that arrived in one window. */
    public static final class Window {
        private int requested;
        private int served;
        private int late;
        private int rejected;
        private int failed;

        /** Returns the number of all requests. */
        public int requested() {
            return requested;
        }

        /** Returns the number of requests answered with 200 within their latency objective. */
        public int served() {
            return served;
        }

        /** Returns the number of requests answered with 200 after their latency objective. */
        public int late() {
            return late;
        }

        /** Returns the number of requests whose final outcome is a rejection. */
        public int rejected() {
            return rejected;
        }

        /** Returns the number of requests whose final outcome is a failure. */
        public int failed() {
            return failed;
        }
    }

    /** Creates empty windows for the length of a scenario. */
    public ServiceWindows(Scenario scenario) {
        this.scenario = scenario;
        for (long startMicros = 0;
                startMicros < scenario.lengthMicros();
                startMicros += WINDOW_MICROS) {
            windows.add(new Window());
        }
    }

    /** Records the outcome and latency of a completed request. */
    public void record(ClientRequest clientRequest) {
        Scenario.RequestClass requestClass =
                scenario.classes().get(clientRequest.arrival().requestClass());
        Window window = windows.get((int) (clientRequest.arrival().atMicros() / WINDOW_MICROS));
        window.requested++;
        requestedWeight += requestClass.priorityWeight();
        switch (clientRequest.outcome()) {
            case SERVED -> recordServed(clientRequest, requestClass, window);
            case REJECTED -> window.rejected++;
            default -> window.failed++;
        }
    }

    private void recordServed(
            ClientRequest clientRequest, Scenario.RequestClass requestClass, Window window) {
        boolean inTime = clientRequest.latencyMicros() <= requestClass.latencyObjectiveMs() * 1e3;
        if (inTime) {
            window.served++;
        } else {
            window.late++;
        }
        earnedWeight +=
                requestClass.priorityWeight() * (inTime ? 1 : requestClass.lateValueFraction());
        String zone = scenario.fleet().zones().get(clientRequest.arrival().zone());
        latencies
                .computeIfAbsent(
                        requestClass.name() + "/" + zone, key -> new Histogram(HISTOGRAM_DIGITS))
                .recordValue(Math.max(0, clientRequest.latencyMicros()));
    }

    /** Returns the windows of the run, oldest first. */
    public List<Window> windows() {
        return windows;
    }

    /** Returns latencies in µs of requests that were answered with 200, by "class/zone". */
    public SortedMap<String, Histogram> latencies() {
        return latencies;
    }

    /**
     * Returns the earned fraction of the priority weight of all requests, or 0 without requests. A
     * served request earns its full weight and a late one a part of it.
     */
    public double weightedService() {
        return requestedWeight == 0 ? 0 : earnedWeight / requestedWeight;
    }

    /** Returns the served fraction of requests between two times in µs; NaN without requests. */
    public double servedFraction(long fromMicros, long toMicros) {
        int total = 0;
        int served = 0;
        for (int i = windowIndex(fromMicros); i < windowIndex(toMicros); i++) {
            total += windows.get(i).requested;
            served += windows.get(i).served;
        }
        return total == 0 ? Double.NaN : (double) served / total;
    }

    /** Returns the number of requests between two times in µs that were rejected or failed. */
    public int unservedCount(long fromMicros, long toMicros) {
        int sum = 0;
        for (int i = windowIndex(fromMicros); i < windowIndex(toMicros); i++) {
            sum += windows.get(i).rejected + windows.get(i).failed;
        }
        return sum;
    }

    private int windowIndex(long timeMicros) {
        return (int) Math.max(0, Math.min(windows.size(), timeMicros / WINDOW_MICROS));
    }

    /**
     * Returns the time in µs from a fault until the service recovers. It has recovered when the
     * served fraction of requests over one second is at least 95% of that in the five seconds
     * before the fault. Returns 0 if the fraction does not drop in the five seconds after the
     * fault, and -1 if the service does not recover within the run.
     */
    public long recoveryMicrosAfter(long faultMicros) {
        double baseline = servedFraction(faultMicros - BASELINE_MICROS, faultMicros);
        boolean degraded = false;
        for (int i = windowIndex(faultMicros);
                i + RECOVERY_WINDOWS <= windows.size()
                        && (degraded || i * WINDOW_MICROS < faultMicros + BASELINE_MICROS);
                i++) {
            double servedFraction =
                    servedFraction(i * WINDOW_MICROS, (i + RECOVERY_WINDOWS) * WINDOW_MICROS);
            // "!(<)" instead of ">=": without requests the fraction is NaN, which is no drop.
            boolean recovered = !(servedFraction < RECOVERY_FRACTION * baseline);
            if (degraded && recovered) {
                return Math.max(0, i * WINDOW_MICROS - faultMicros);
            }
            degraded |= !recovered;
        }
        return degraded ? -1 : 0;
    }
}
