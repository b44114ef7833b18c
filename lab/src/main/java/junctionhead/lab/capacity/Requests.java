package junctionhead.lab.capacity;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import junctionhead.Policy;

/**
 * The requests of one hollow balancer: they come at random, and each attempt is served after a
 * plain time that knows no queue. What is wanted is the rate that modules tell of, and the cost of
 * deciding.
 */
final class Requests {
    // µs
    private static final long TIME_LEFT = 1_500_000;
    private static final long SERVICE_LEAST = 10_000;
    private static final long SERVICE_MOST = 30_000;

    private final Policy module;
    private final HollowBalancer balancer;
    private final Host host;
    private final int classes;
    private final double rate;
    private final SplittableRandom random;
    // Those with attempts that have not ended
    private final Map<String, Open> open = new HashMap<>();
    private long number;
    // µs, when the next one comes
    private long next;

    private static final class Open {
        private final Set<Integer> running = new TreeSet<>();
        private int attempts;
        private boolean closed;
    }

    Requests(
            Policy module,
            HollowBalancer balancer,
            Host host,
            Site site,
            int rank,
            SplittableRandom random) {
        this.module = module;
        this.balancer = balancer;
        this.host = host;
        this.classes = site.classes();
        this.rate = site.rate(rank);
        this.random = random;
    }

    void begin() {
        next = host.now();
        await();
    }

    // Counted from the last one's own time: a timer that comes late must not make the rate lower.
    private void await() {
        next += 1 + (long) (-Math.log(1 - random.nextDouble()) / rate * 1e6);
        host.after(
                Math.max(1, next - host.now()),
                () -> {
                    if (balancer.runs()) {
                        String id = "r" + number++;
                        open.put(id, new Open());
                        balancer.moduleWork(
                                () ->
                                        module.request(
                                                host.now(),
                                                id,
                                                random.nextInt(classes),
                                                0,
                                                null,
                                                TIME_LEFT,
                                                -1,
                                                false,
                                                balancer));
                        await();
                    }
                });
    }

    void send(String id) {
        Open of = open.get(id);
        if (of == null) {
            return;
        }
        int attempt = of.attempts++;
        of.running.add(attempt);
        long takes = random.nextLong(SERVICE_LEAST, SERVICE_MOST);
        host.after(takes, () -> end(id, attempt, Policy.Outcome.OK, takes));
    }

    private void end(String id, int attempt, Policy.Outcome outcome, long took) {
        Open of = open.get(id);
        if (of == null || !of.running.remove(attempt)) {
            return;
        }
        if (outcome == Policy.Outcome.OK && !of.closed) {
            of.closed = true;
            balancer.counted(true);
        }
        boolean closed = of.closed;
        forget(id, of);
        balancer.moduleWork(
                () ->
                        module.outcome(
                                host.now(), id, attempt, outcome, took, closed, null, balancer));
    }

    void cancel(String id, int attempt) {
        host.after(1, () -> end(id, attempt, Policy.Outcome.CANCELLED, 1));
    }

    void unserved(String id) {
        Open of = open.get(id);
        if (of != null && !of.closed) {
            of.closed = true;
            balancer.counted(false);
            forget(id, of);
        }
    }

    private void forget(String id, Open of) {
        if (of.closed && of.running.isEmpty()) {
            open.remove(id);
        }
    }
}
