package junctionhead.lab.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import junctionhead.lab.rules.Order;
import junctionhead.lab.scenario.Scenario;
import org.HdrHistogram.Histogram;

/**
 * How clients were served, by the time of their first try in windows of 100 ms, and their latencies
 * by class and zone. Served means within the aim of the class.
 */
public final class Windows {
    /** µs. */
    public static final long WINDOW = 100_000;

    // Windows in a row that say that service is back
    private static final int STEADY = 10;
    // Of what it was before
    private static final double BACK = 0.95;
    // µs, before and after a fault
    private static final long LOOK = 5_000_000;

    private final Scenario scenario;
    private final List<Window> windows = new ArrayList<>();
    private final SortedMap<String, Histogram> latencies = new TreeMap<>();
    private double asked;
    private double earned;

    /** Counts of one window. */
    public static final class Window {
        private int asked;
        private int served;
        private int late;
        private int refused;
        private int failed;

        public int asked() {
            return asked;
        }

        public int served() {
            return served;
        }

        public int late() {
            return late;
        }

        public int refused() {
            return refused;
        }

        public int failed() {
            return failed;
        }
    }

    public Windows(Scenario scenario) {
        this.scenario = scenario;
        for (long at = 0; at < scenario.length(); at += WINDOW) {
            windows.add(new Window());
        }
    }

    /** An order has ended. */
    public void ended(Order order) {
        Scenario.RequestClass kind = scenario.classes().get(order.arrival().requestClass());
        Window window = windows.get((int) (order.arrival().at() / WINDOW));
        boolean inTime = order.end() == Order.End.SERVED && order.latency() <= kind.aimMs() * 1e3;
        window.asked++;
        asked += kind.worth();
        switch (order.end()) {
            case SERVED -> {
                if (inTime) {
                    window.served++;
                } else {
                    window.late++;
                }
                earned += kind.worth() * (inTime ? 1 : kind.lateShare());
                latencies
                        .computeIfAbsent(
                                kind.name()
                                        + "/"
                                        + scenario.fleet().zones().get(order.arrival().zone()),
                                k -> new Histogram(3))
                        .recordValue(Math.max(0, order.latency()));
            }
            case REFUSED -> window.refused++;
            default -> window.failed++;
        }
    }

    public List<Window> all() {
        return windows;
    }

    /** Latencies in µs of what was answered with 200, by "class/zone". */
    public SortedMap<String, Histogram> latencies() {
        return latencies;
    }

    /** Worth earned, of the worth asked for. */
    public double service() {
        return asked == 0 ? 0 : earned / asked;
    }

    /** The served part of first tries between two times, in µs; NaN where there were none. */
    public double servedShare(long from, long to) {
        int all = 0;
        int served = 0;
        for (int i = index(from); i < index(to); i++) {
            all += windows.get(i).asked;
            served += windows.get(i).served;
        }
        return all == 0 ? Double.NaN : (double) served / all;
    }

    /** First tries between two times that were not served at all: refused or failed. */
    public int unserved(long from, long to) {
        int sum = 0;
        for (int i = index(from); i < index(to); i++) {
            sum += windows.get(i).refused + windows.get(i).failed;
        }
        return sum;
    }

    private int index(long at) {
        return (int) Math.max(0, Math.min(windows.size(), at / WINDOW));
    }

    /**
     * µs from {@code at} until the served part is 95% of that in the five seconds before, for one
     * second; 0 where it never fell below that in five seconds after, -1 where it is not back
     * within the run.
     */
    public long backAfter(long at) {
        double before = servedShare(at - LOOK, at);
        boolean gone = false;
        for (int i = index(at);
                i + STEADY <= windows.size() && (gone || i * WINDOW < at + LOOK);
                i++) {
            double share = servedShare(i * WINDOW, (i + STEADY) * WINDOW);
            // Where nobody came nothing is missing
            boolean good = !(share < BACK * before);
            if (gone && good) {
                return Math.max(0, i * WINDOW - at);
            }
            gone |= !good;
        }
        return gone ? -1 : 0;
    }
}
