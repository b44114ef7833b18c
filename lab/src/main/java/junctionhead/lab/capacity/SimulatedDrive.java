package junctionhead.lab.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.IntPredicate;
import java.util.function.Supplier;
import junctionhead.Policy;
import junctionhead.lab.plan.Seeds;
import junctionhead.membership.News;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;

/** Simulated time, one thread: what happens is the same by seed, only what it cost is measured. */
final class SimulatedDrive implements Drive {
    // µs one way
    private static final long DELAY_LEAST = 1_200;
    private static final long DELAY_MOST = 10_000;
    // µs that timers come late at most
    private static final long TICK_LATE = 1_000;
    // µs until discovery's news come
    private static final long NEWS_LEAST = 200_000;
    private static final long NEWS_MOST = 1_500_000;
    // µs of a balancer's clock at time 0
    private static final long EPOCH = 1_000_000_000;
    // ms of the wall clock then
    private static final long WALL = 1_700_000_000_000L;

    private final Site site;
    private final long seed;
    private final UniformRandomProvider random;
    private final PriorityQueue<Entry> queue = new PriorityQueue<>(1 << 14);
    private final Process[] processes;
    // Which balancers had a process before
    private final boolean[] ran;
    private final Ledger[] ledgers;
    private final Notices notices;
    private final Histogram listTimes = new Histogram(3);
    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private IntPredicate side = b -> true;
    private double loss;
    private long now = EPOCH;
    private long number;
    private long starts;
    private long cpu;
    private long elapsed;

    private record Entry(long at, long number, Runnable what) implements Comparable<Entry> {
        @Override
        public int compareTo(Entry other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    /** One process of a balancer on this time. */
    private final class Process implements Host {
        private final int rank;
        private final HollowBalancer balancer;

        Process(int rank) {
            this.rank = rank;
            this.balancer =
                    new HollowBalancer(
                            this,
                            site,
                            rank,
                            WALL + now / 1000,
                            Seeds.number(seed, "hollow " + rank + " start " + starts++),
                            ledgers[rank]);
        }

        @Override
        public long now() {
            return now;
        }

        @Override
        public void after(long delay, Runnable what) {
            at(now + delay + (long) (random.nextDouble() * TICK_LATE), what);
        }

        @Override
        public void tell(int peer, byte[] data) {
            if (peer >= 0) {
                post(rank, peer, data);
            } else {
                for (int to = 0; to < processes.length; to++) {
                    if (to != rank) {
                        post(rank, to, data);
                    }
                }
            }
        }

        @Override
        public void seen(News news) {
            notices.seen(rank, news, now);
        }
    }

    SimulatedDrive(Site site, long seed) {
        this.site = site;
        this.seed = seed;
        random = Seeds.stream(seed, "capacity");
        processes = new Process[site.balancers()];
        ran = new boolean[site.balancers()];
        ledgers = new Ledger[site.balancers()];
        Arrays.setAll(ledgers, b -> new Ledger());
        notices = new Notices(site.balancers());
    }

    private void at(long time, Runnable what) {
        queue.add(new Entry(time, number++, what));
    }

    private void post(int from, int to, byte[] data) {
        if (loss > 0 && random.nextDouble() < loss || side.test(from) != side.test(to)) {
            return;
        }
        at(
                now + DELAY_LEAST + (long) (random.nextDouble() * (DELAY_MOST - DELAY_LEAST)),
                () -> {
                    Process target = processes[to];
                    if (target != null) {
                        target.balancer.heard(from, data);
                    }
                });
    }

    @Override
    public long now() {
        return now;
    }

    @Override
    public void start(int b) {
        processes[b] = new Process(b);
        notices.born(b, now);
        if (ran[b]) {
            notices.back(b, now, WALL + now / 1000, this::runs);
        }
        ran[b] = true;
        processes[b].balancer.start();
    }

    @Override
    public void kill(int b) {
        processes[b].balancer.kill();
        ended(b);
    }

    @Override
    public void leave(int b) {
        processes[b].balancer.leave();
        ended(b);
    }

    private void ended(int b) {
        processes[b] = null;
        notices.blind(b);
        notices.gone(b, now, this::runs);
    }

    @Override
    public boolean runs(int b) {
        return processes[b] != null;
    }

    @Override
    public void loss(double part) {
        loss = part;
    }

    @Override
    public void cut(IntPredicate sides) {
        side = sides;
    }

    @Override
    public void news(Supplier<List<Policy.Server>> changes) {
        long from = now;
        if (!site.parts().contains(Part.MODULE)) {
            // Nobody has a list
            return;
        }
        for (Process p : processes) {
            if (p != null) {
                at(
                        now + NEWS_LEAST + (long) (random.nextDouble() * (NEWS_MOST - NEWS_LEAST)),
                        () -> {
                            List<Policy.Server> mine = changes.get();
                            long began = System.nanoTime();
                            p.balancer.listed(mine);
                            if (p.balancer.runs()) {
                                listTimes.recordValue(
                                        now - from + (System.nanoTime() - began) / 1000);
                            }
                        });
            }
        }
    }

    @Override
    public void play(long length) {
        long cpuFrom = threads.getCurrentThreadCpuTime();
        long from = System.nanoTime();
        long until = now + length;
        while (!queue.isEmpty() && queue.peek().at <= until) {
            Entry next = queue.poll();
            now = Math.max(now, next.at);
            next.what.run();
        }
        now = until;
        cpu += threads.getCurrentThreadCpuTime() - cpuFrom;
        elapsed += System.nanoTime() - from;
    }

    @Override
    public void clear() {
        Arrays.stream(ledgers).forEach(Ledger::clear);
        cpu = 0;
        elapsed = 0;
    }

    @Override
    public List<Ledger> ledgers() {
        return Arrays.stream(ledgers).map(Ledger::copy).toList();
    }

    @Override
    public long cpuNanos() {
        return cpu;
    }

    @Override
    public double cpuPart() {
        return elapsed == 0 ? 1 : Math.min(1, (double) cpu / elapsed);
    }

    @Override
    public double[] othersRates() {
        return Arrays.stream(processes)
                .mapToDouble(p -> p == null ? Double.NaN : p.balancer.othersRate())
                .toArray();
    }

    @Override
    public Histogram listTimes() {
        return listTimes;
    }

    @Override
    public Notices notices() {
        return notices;
    }

    @Override
    public void close() {
        queue.clear();
        Arrays.fill(processes, null);
    }
}
