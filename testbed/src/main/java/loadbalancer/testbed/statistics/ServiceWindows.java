package loadbalancer.testbed.statistics;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import loadbalancer.testbed.invariant.ClientRequest;
import loadbalancer.testbed.scenario.Scenario;
import org.HdrHistogram.Histogram;

/**
 * How clients were served, by the time of their first try in windows of 100 ms, and their latencies
 * by class and zone. Served means within the aim of the class.
 */
public final class ServiceWindows {
    /** µs. */
    public static final long WINDOW_MICROS = 100_000;

    // Windows in a row that say that service is back
    private static final int RECOVERY_WINDOWS = 10;
    // Of what it was before
    private static final double RECOVERY_FRACTION = 0.95;
    // µs, before and after a fault
    private static final long BASELINE_MICROS = 5_000_000;

    private final Scenario scenario;
    private final List<Window> windows = new ArrayList<>();
    private final SortedMap<String, Histogram> latencies = new TreeMap<>();
    private double requestedWeight;
    private double earnedWeight;

    /** Counts of one window. */
    public static final class Window {
        private int requested;
        private int served;
        private int late;
        private int rejected;
        private int failed;

        public int requested() {
            return requested;
        }

        public int served() {
            return served;
        }

        public int late() {
            return late;
        }

        public int rejected() {
            return rejected;
        }

        public int failed() {
            return failed;
        }
    }

    public ServiceWindows(Scenario scenario) {
        this.scenario = scenario;
        for (long startMicros = 0;
                startMicros < scenario.lengthMicros();
                startMicros += WINDOW_MICROS) {
            windows.add(new Window());
        }
    }

    /** An order has ended. */
    public void record(ClientRequest clientRequest) {
        Scenario.RequestClass requestClass =
                scenario.classes().get(clientRequest.arrival().requestClass());
        Window window = windows.get((int) (clientRequest.arrival().atMicros() / WINDOW_MICROS));
        boolean inTime =
                clientRequest.outcome() == ClientRequest.Outcome.SERVED
                        && clientRequest.latencyMicros() <= requestClass.latencyObjectiveMs() * 1e3;
        window.requested++;
        requestedWeight += requestClass.priorityWeight();
        switch (clientRequest.outcome()) {
            case SERVED -> {
                if (inTime) {
                    window.served++;
                } else {
                    window.late++;
                }
                earnedWeight +=
                        requestClass.priorityWeight()
                                * (inTime ? 1 : requestClass.lateValueFraction());
                latencies
                        .computeIfAbsent(
                                requestClass.name()
                                        + "/"
                                        + scenario.fleet()
                                                .zones()
                                                .get(clientRequest.arrival().zone()),
                                k -> new Histogram(3))
                        .recordValue(Math.max(0, clientRequest.latencyMicros()));
            }
            case REJECTED -> window.rejected++;
            default -> window.failed++;
        }
    }

    public List<Window> windows() {
        return windows;
    }

    /** Latencies in µs of what was answered with 200, by "class/zone". */
    public SortedMap<String, Histogram> latencies() {
        return latencies;
    }

    /** Worth earned, of the worth asked for. */
    public double weightedService() {
        return requestedWeight == 0 ? 0 : earnedWeight / requestedWeight;
    }

    /** The served part of first tries between two times, in µs; NaN where there were none. */
    public double servedFraction(long fromMicros, long toMicros) {
        int total = 0;
        int served = 0;
        for (int i = windowIndex(fromMicros); i < windowIndex(toMicros); i++) {
            total += windows.get(i).requested;
            served += windows.get(i).served;
        }
        return total == 0 ? Double.NaN : (double) served / total;
    }

    /** First tries between two times that were not served at all: refused or failed. */
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
     * µs from {@code faultMicros} until the served part is 95% of that in the five seconds before,
     * for one second; 0 where it never fell below that in five seconds after, -1 where it is not
     * back within the run.
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
            // Where nobody came nothing is missing
            boolean recovered = !(servedFraction < RECOVERY_FRACTION * baseline);
            if (degraded && recovered) {
                return Math.max(0, i * WINDOW_MICROS - faultMicros);
            }
            degraded |= !recovered;
        }
        return degraded ? -1 : 0;
    }
}
