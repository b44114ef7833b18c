package loadbalancer.testbed.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.IntPredicate;
import java.util.function.Supplier;
import loadbalancer.membership.MemberUpdate;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.testbed.workload.RandomStreams;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Runs a fleet in simulated time on the caller's thread. The events depend only on the seed; their
 * CPU time and memory are measured in real time. Not thread-safe.
 */
final class SimulatedHollowFleet extends AbstractHollowFleet {
    // One-way delay of a datagram
    private static final long MIN_DELAY_MICROS = 1_200;
    private static final long MAX_DELAY_MICROS = 10_000;
    private static final long MAX_TIMER_LATENESS_MICROS = 1_000;
    // The monotonic clock and the wall clock of the balancers at the start of the simulation
    private static final long START_MICROS = 1_000_000_000;
    private static final long START_WALL_CLOCK_MS = 1_700_000_000_000L;

    private final long seed;
    private final UniformRandomProvider random;
    private final PriorityQueue<ScheduledEvent> eventQueue = new PriorityQueue<>(1 << 14);
    private final SimulatedProcess[] processes;
    // True for each balancer that has had a process
    private final boolean[] hasRunBefore;
    private final CostCounters[] counters;
    private final ThreadMXBean threadBean = ManagementFactory.getThreadMXBean();
    private IntPredicate partitionSide = b -> true;
    private double lossRate;
    private long now = START_MICROS;
    private long nextSequence;
    private long startCount;
    private long cpuNanos;
    private long elapsedNanos;

    private record ScheduledEvent(long timeMicros, long sequence, Runnable task)
            implements Comparable<ScheduledEvent> {
        @Override
        public int compareTo(ScheduledEvent other) {
            return timeMicros != other.timeMicros
                    ? Long.compare(timeMicros, other.timeMicros)
                    : Long.compare(sequence, other.sequence);
        }
    }

    /** Runs one process of a balancer, and connects it to the simulated clock and network. */
    private final class SimulatedProcess implements BalancerHost {
        private final int rank;
        private final HollowBalancer balancer;

        SimulatedProcess(int rank) {
            this.rank = rank;
            this.balancer =
                    new HollowBalancer(
                            this,
                            fleetSpec(),
                            rank,
                            START_WALL_CLOCK_MS + now / 1000,
                            RandomStreams.seedFor(seed, processStreamName(rank, startCount++)),
                            counters[rank]);
        }

        @Override
        public long now() {
            return now;
        }

        @Override
        public void runAfter(long delayMicros, Runnable task) {
            schedule(
                    now + delayMicros + (long) (random.nextDouble() * MAX_TIMER_LATENESS_MICROS),
                    task);
        }

        @Override
        public void send(int peer, byte[] data) {
            if (peer >= 0) {
                transmit(rank, peer, data);
            } else {
                for (int receiver = 0; receiver < processes.length; receiver++) {
                    if (receiver != rank) {
                        transmit(rank, receiver, data);
                    }
                }
            }
        }

        @Override
        public void onMemberUpdate(MemberUpdate update) {
            detections().onMemberUpdate(rank, update, now);
        }
    }

    /**
     * Creates a fleet without processes.
     *
     * @param seed determines the delays, the losses and the random numbers of the balancers
     */
    SimulatedHollowFleet(FleetSpec fleetSpec, long seed) {
        super(fleetSpec, new Histogram(3));
        this.seed = seed;
        random = RandomStreams.stream(seed, "capacity");
        processes = new SimulatedProcess[fleetSpec.balancers()];
        hasRunBefore = new boolean[fleetSpec.balancers()];
        counters = new CostCounters[fleetSpec.balancers()];
        Arrays.setAll(counters, balancer -> new CostCounters());
    }

    private void schedule(long timeMicros, Runnable task) {
        eventQueue.add(new ScheduledEvent(timeMicros, nextSequence++, task));
    }

    private void transmit(int sender, int receiver, byte[] data) {
        boolean lost = lossRate > 0 && random.nextDouble() < lossRate;
        if (lost || partitionSide.test(sender) != partitionSide.test(receiver)) {
            return;
        }
        schedule(
                now
                        + MIN_DELAY_MICROS
                        + (long) (random.nextDouble() * (MAX_DELAY_MICROS - MIN_DELAY_MICROS)),
                () -> {
                    SimulatedProcess target = processes[receiver];
                    if (target != null) {
                        target.balancer.onDatagram(sender, data);
                    }
                });
    }

    @Override
    public long now() {
        return now;
    }

    @Override
    public void start(int balancer) {
        processes[balancer] = new SimulatedProcess(balancer);
        detections().observerStarted(balancer, now);
        if (hasRunBefore[balancer]) {
            detections()
                    .memberReturned(
                            balancer, now, START_WALL_CLOCK_MS + now / 1000, this::isRunning);
        }
        hasRunBefore[balancer] = true;
        processes[balancer].balancer.start();
    }

    @Override
    public void kill(int balancer) {
        processes[balancer].balancer.kill();
        processEnded(balancer);
    }

    @Override
    public void leave(int balancer) {
        processes[balancer].balancer.leave();
        processEnded(balancer);
    }

    private void processEnded(int balancer) {
        processes[balancer] = null;
        detections().observerStopped(balancer);
        detections().memberDied(balancer, now, this::isRunning);
    }

    @Override
    public boolean isRunning(int balancer) {
        return processes[balancer] != null;
    }

    @Override
    public void setLossRate(double lossRate) {
        this.lossRate = lossRate;
    }

    @Override
    public void partition(IntPredicate side) {
        partitionSide = side;
    }

    @Override
    void scheduleListUpdates(Supplier<List<Endpoint>> changes) {
        long publishedMicros = now;
        for (SimulatedProcess process : processes) {
            if (process != null) {
                schedule(
                        now
                                + MIN_UPDATE_DELAY_MICROS
                                + (long)
                                        (random.nextDouble()
                                                * (MAX_UPDATE_DELAY_MICROS
                                                        - MIN_UPDATE_DELAY_MICROS)),
                        () -> {
                            List<Endpoint> ownChanges = changes.get();
                            long startNanos = System.nanoTime();
                            process.balancer.onListUpdate(ownChanges);
                            if (process.balancer.isRunning()) {
                                listPropagationMicros()
                                        .recordValue(
                                                now
                                                        - publishedMicros
                                                        + (System.nanoTime() - startNanos) / 1000);
                            }
                        });
            }
        }
    }

    @Override
    public void advance(long durationMicros) {
        long cpuBeforeNanos = threadBean.getCurrentThreadCpuTime();
        long startNanos = System.nanoTime();
        long untilMicros = now + durationMicros;
        while (!eventQueue.isEmpty() && eventQueue.peek().timeMicros <= untilMicros) {
            ScheduledEvent event = eventQueue.poll();
            now = Math.max(now, event.timeMicros);
            event.task.run();
        }
        now = untilMicros;
        cpuNanos += threadBean.getCurrentThreadCpuTime() - cpuBeforeNanos;
        elapsedNanos += System.nanoTime() - startNanos;
    }

    @Override
    public void resetCounters() {
        Arrays.stream(counters).forEach(CostCounters::reset);
        cpuNanos = 0;
        elapsedNanos = 0;
    }

    @Override
    public List<CostCounters> counters() {
        return Arrays.stream(counters).map(CostCounters::copy).toList();
    }

    @Override
    public long cpuNanos() {
        return cpuNanos;
    }

    @Override
    public double cpuFraction() {
        return elapsedNanos == 0 ? 1 : Math.min(1, (double) cpuNanos / elapsedNanos);
    }

    @Override
    public double[] remoteRates() {
        return Arrays.stream(processes)
                .mapToDouble(
                        process -> process == null ? Double.NaN : process.balancer.remoteRate())
                .toArray();
    }

    @Override
    public void close() {
        eventQueue.clear();
        Arrays.fill(processes, null);
    }
}
