package junctionhead;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import junctionhead.Policy.Effect;
import junctionhead.Policy.ListKind;
import junctionhead.Policy.Scope;
import junctionhead.Policy.Server;
import junctionhead.Policy.State;

/**
 * What the module spends on its list, by the number of servers: CPU and bytes allocated for an idle
 * wake that looks at them, for one changed entry and for a whole list, and live heap for each.
 * Played by hand: {@code docs/design/list.md} says how.
 */
final class ListCost {
    static final long REFRESH = 100_000;
    private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

    private final Harness harness;
    private final List<Server> fleet;
    private long changes;
    private long requests;

    ListCost(int servers) {
        fleet = fleet(servers);
        harness = new Harness(settings(), 7);
        harness.list(ListKind.COMPLETE, fleet);
    }

    /** Four classes, three zones, four kinds; one balancer that hears of no other. */
    static Policy.Settings settings() {
        return Harness.settings(
                Harness.kind(Effect.SAFE, Scope.ALL),
                Harness.kind(Effect.UNSAFE, Scope.ALL),
                Harness.kind(Effect.KEYED, Scope.ZONE),
                Harness.kind(Effect.KEYED, Scope.CELL));
    }

    static List<Server> fleet(int servers) {
        List<Server> fleet = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            fleet.add(server(i, State.UP));
        }
        return fleet;
    }

    static Server server(int i, State state) {
        return new Server("upstream-" + i, state, 1_000_000, 1 + i % 4 * 0.35, i % 5, i % 4, i % 3);
    }

    /** One wake with a look at the servers. */
    void idle() {
        harness.pass(REFRESH);
    }

    /** One server leaves; the next time it is back. */
    void change() {
        int i = (int) (changes / 2 * 7919 % fleet.size());
        harness.list(
                ListKind.PARTIAL,
                List.of(server(i, changes++ % 2 == 0 ? State.DRAINING : State.UP)));
    }

    /** The same list as a whole. */
    void whole() {
        harness.list(ListKind.COMPLETE, fleet);
    }

    /** One request in 2 ms, answered at once. */
    void request() {
        harness.pass(2_000);
        Harness.Sent sent = harness.request("r" + requests++, 0);
        harness.end(sent, Policy.Outcome.OK);
        harness.sends.clear();
        harness.attempts.clear();
        harness.finals.clear();
        harness.log.clear();
    }

    /** Bytes that one run allocates on this thread, as a mean over {@code times}. */
    static long allocated(Runnable work, int times) {
        long before = THREADS.getThreadAllocatedBytes(Thread.currentThread().getId());
        for (int i = 0; i < times; i++) {
            work.run();
        }
        return (THREADS.getThreadAllocatedBytes(Thread.currentThread().getId()) - before) / times;
    }

    private static double micros(Runnable work, int times) {
        long before = THREADS.getCurrentThreadCpuTime();
        for (int i = 0; i < times; i++) {
            work.run();
        }
        return (THREADS.getCurrentThreadCpuTime() - before) / 1e3 / times;
    }

    static long live() {
        for (int i = 0; i < 4; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    /** Bytes of live heap that the module has for each server. */
    static long liveEach(int servers) {
        List<Server> fleet = fleet(servers);
        Harness harness = new Harness(settings(), 7);
        long before = live();
        harness.list(ListKind.COMPLETE, fleet);
        harness.pass(2 * REFRESH);
        long each = (live() - before) / servers;
        // It lives until here
        harness.list(ListKind.FAILED, List.of());
        return each;
    }

    private static void measure(String what, int servers, Runnable work, int times) {
        micros(work, 2 * times);
        System.out.printf(
                Locale.ROOT,
                "%6d servers, %-18s %10.1f us %10d bytes%n",
                servers,
                what,
                micros(work, times),
                allocated(work, times));
    }

    public static void main(String[] sizes) {
        // Loads what is needed once
        liveEach(1_000);
        for (String size : sizes) {
            int servers = Integer.parseInt(size);
            System.out.printf(
                    Locale.ROOT,
                    "%6d servers, live heap      %10d bytes each%n",
                    servers,
                    liveEach(servers));
            ListCost cost = new ListCost(servers);
            measure("idle look", servers, cost::idle, 500);
            measure("request", servers, cost::request, 500);
            measure("one change", servers, cost::change, 200);
            measure(
                    "change and request",
                    servers,
                    () -> {
                        cost.change();
                        cost.request();
                    },
                    200);
            measure("whole list", servers, cost::whole, 20);
        }
    }
}
