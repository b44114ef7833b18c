package loadbalancer.testbed.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.IntPredicate;
import loadbalancer.membership.MemberStatus;
import loadbalancer.membership.Membership;
import loadbalancer.membership.MembershipMessage;
import loadbalancer.membership.MembershipTiming;
import loadbalancer.membership.MembershipView;
import loadbalancer.testbed.workload.RandomStreams;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Many members in virtual time that run the production {@link Membership}: how soon a killed member
 * is detected, whether a running one is ever declared dead, and what the protocol costs.
 * Single-threaded; deterministic by the seed.
 */
public final class MembershipSimulation {
    /** Result of {@link #microsUntilConverged} if views do not converge in time. */
    public static final long NOT_CONVERGED = -1;

    /** The wall clock of all members in ms at time 0. */
    private static final long WALL_CLOCK_EPOCH_MS = 1_700_000_000_000L;

    /** Limit of the descriptions that a simulation collects of one kind of violation. */
    static final int MAX_RECORDED_VIOLATIONS = 100;

    // One way
    private static final long MIN_DELAY_MICROS = 1_200;
    private static final long MAX_DELAY_MICROS = 10_000;
    private static final long MAX_TIMER_LATENESS_MICROS = 1_000;
    private static final long CONVERGENCE_CHECK_INTERVAL_MICROS = 20_000;
    private static final int HISTOGRAM_DIGITS = 3;

    private final VirtualTimeScheduler scheduler = new VirtualTimeScheduler();
    private final List<SimulatedMember> members = new ArrayList<>();
    private final double lossProbability;
    private final UniformRandomProvider random;
    private final Histogram detectionTimes = new Histogram(HISTOGRAM_DIGITS);
    private final List<String> falsePositives = new ArrayList<>();
    // Messages pass only between members for which it is the same
    private IntPredicate partitionSide = MembershipSimulation::anySide;
    private long datagramsSent;
    private ViewListener listener = ViewListener.NONE;

    /** A protocol that runs in the members' processes and depends on their views. */
    interface ViewListener {
        /** Ignores all events. */
        ViewListener NONE =
                new ViewListener() {
                    @Override
                    public void onStarted(int member) {}

                    @Override
                    public void onViewChanged(int member, MembershipView view) {}
                };

        /** A process of that member starts. */
        void onStarted(int member);

        /** The view of a member changes. */
        void onViewChanged(int member, MembershipView view);
    }

    /**
     * Creates a cluster whose members all start at time 0.
     *
     * @param lossProbability of each datagram
     */
    public MembershipSimulation(int memberCount, double lossProbability, long seed) {
        this.lossProbability = lossProbability;
        random = RandomStreams.stream(seed, "members");
        for (int member = 0; member < memberCount; member++) {
            members.add(new SimulatedMember(memberCount));
        }
        for (int member = 0; member < memberCount; member++) {
            start(member);
        }
    }

    /** Sets the listener, which is notified of all processes that run already. */
    void setListener(ViewListener newListener) {
        listener = newListener;
        for (int member = 0; member < members.size(); member++) {
            listener.onStarted(member);
        }
    }

    VirtualTimeScheduler scheduler() {
        return scheduler;
    }

    boolean isRunning(int member) {
        return members.get(member).isRunning();
    }

    /** The wall clock of all members in ms. */
    long wallClockMs() {
        return WALL_CLOCK_EPOCH_MS + scheduler.nowMicros() / 1000;
    }

    // ------------------------------------------------------------ processes

    private void start(int member) {
        long incarnation = wallClockMs();
        Membership protocol =
                new Membership(
                        member,
                        members.size(),
                        MembershipTiming.DEFAULT,
                        incarnation,
                        scheduler.nowMicros());
        members.get(member).start(protocol, incarnation);
        scheduleTick(member);
        listener.onStarted(member);
    }

    private void scheduleTick(int member) {
        scheduleTimer(
                member,
                members.get(member).protocol().nextTickMicros(),
                () -> {
                    Membership protocol = members.get(member).protocol();
                    perform(member, protocol.tick(scheduler.nowMicros()));
                    scheduleTick(member);
                });
    }

    /**
     * Schedules a timer of the present process of a member. It runs at {@code dueMicros} or up to 1
     * ms late, like timers of an event loop, and not at all if the process has ended by then.
     */
    void scheduleTimer(int member, long dueMicros, Runnable action) {
        SimulatedMember process = members.get(member);
        int processNumber = process.processNumber();
        long latenessMicros = (long) (random.nextDouble() * MAX_TIMER_LATENESS_MICROS);
        scheduler.schedule(
                dueMicros + latenessMicros,
                () -> {
                    if (process.processNumber() == processNumber && process.isRunning()) {
                        action.run();
                    }
                });
    }

    /** Plays {@code durationMicros} µs more. */
    public void runFor(long durationMicros) {
        scheduler.runUntil(scheduler.nowMicros() + durationMicros);
    }

    /** Kills the process of a member. */
    public void kill(int member) {
        members.get(member).kill(scheduler.nowMicros());
    }

    /** Ends the process of a member gracefully: it tells the others that it leaves. */
    public void leave(int member) {
        perform(member, members.get(member).protocol().leave(scheduler.nowMicros()));
        members.get(member).leave();
    }

    /** Starts a new process of a member, which knows nothing of the earlier one. */
    public void restart(int member) {
        start(member);
    }

    // ------------------------------------------------------------ messages

    private void perform(int sender, List<Membership.Action> actions) {
        for (Membership.Action action : actions) {
            if (action instanceof Membership.Send send) {
                send(sender, send);
            } else if (action instanceof Membership.ViewChanged change) {
                recordChange(sender, change);
                listener.onViewChanged(sender, change.view());
            }
        }
    }

    private void send(int sender, Membership.Send send) {
        byte[] payload = send.message().encode();
        members.get(sender).countSent(payload.length);
        datagramsSent++;
        sendDatagram(sender, send.to(), () -> receive(sender, send.to(), payload));
    }

    private void receive(int sender, int recipient, byte[] payload) {
        MembershipMessage message = MembershipMessage.decode(payload).orElseThrow();
        Membership protocol = members.get(recipient).protocol();
        perform(recipient, protocol.onPeerMessage(scheduler.nowMicros(), sender, message));
    }

    /**
     * Sends a datagram, which may be lost.
     *
     * @param onArrival runs when it arrives, unless the recipient does not run then
     */
    void sendDatagram(int sender, int recipient, Runnable onArrival) {
        if (random.nextDouble() < lossProbability
                || partitionSide.test(sender) != partitionSide.test(recipient)) {
            return;
        }
        long jitterMicros = (long) (random.nextDouble() * (MAX_DELAY_MICROS - MIN_DELAY_MICROS));
        scheduler.scheduleAfter(
                MIN_DELAY_MICROS + jitterMicros,
                () -> {
                    if (isRunning(recipient)) {
                        onArrival.run();
                    }
                });
    }

    /** Partitions the network: messages pass only between members for which it is the same. */
    public void partition(IntPredicate newPartitionSide) {
        partitionSide = newPartitionSide;
    }

    // Without a partition all members are on one side
    private static boolean anySide(int member) {
        return true;
    }

    /** Ends the partition. */
    public void heal() {
        partitionSide = MembershipSimulation::anySide;
    }

    // ------------------------------------------------------------ measurements

    private void recordChange(int observer, Membership.ViewChanged change) {
        if (change.update().status() != MemberStatus.DEAD) {
            return;
        }
        int subject = change.update().member();
        SimulatedMember member = members.get(subject);
        if (member.isKilled()) {
            // Only the first of an observer; more may follow with higher incarnations
            if (member.addDetection(observer)) {
                detectionTimes.recordValue(scheduler.nowMicros() - member.killedAtMicros());
            }
        } else if (member.isRunning()
                && change.update().incarnation() >= member.initialIncarnation()
                && falsePositives.size() < MAX_RECORDED_VIOLATIONS) {
            falsePositives.add(
                    String.format(
                            Locale.ROOT,
                            "n%d held dead by n%d at %.3f s",
                            subject,
                            observer,
                            scheduler.nowMicros() / 1e6));
        }
    }

    /**
     * Whether at least one member runs, and every running member has all running members present
     * and the others not.
     */
    public boolean isConverged() {
        boolean anyRunning = false;
        for (SimulatedMember member : members) {
            if (member.isRunning()) {
                anyRunning = true;
                if (!isAccurate(member.protocol().view())) {
                    return false;
                }
            }
        }
        return anyRunning;
    }

    private boolean isAccurate(MembershipView view) {
        for (int other = 0; other < members.size(); other++) {
            if (view.isPresent(other) != isRunning(other)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Plays until {@link #isConverged}, checked every 20 ms, and returns how long that took in µs,
     * or {@link #NOT_CONVERGED} if it takes longer than {@code maxMicros}.
     */
    public long microsUntilConverged(long maxMicros) {
        long startMicros = scheduler.nowMicros();
        while (scheduler.nowMicros() - startMicros <= maxMicros) {
            if (isConverged()) {
                return scheduler.nowMicros() - startMicros;
            }
            runFor(CONVERGENCE_CHECK_INTERVAL_MICROS);
        }
        return NOT_CONVERGED;
    }

    /** Time in µs from the kill of a member until another one detected it, for every pair. */
    public Histogram detectionTimes() {
        return detectionTimes;
    }

    /** Running members that were declared dead outside of partitions; at most 100. */
    public List<String> falsePositives() {
        return falsePositives;
    }

    /** Bytes sent so far, mean of the members. */
    public double meanBytesSent() {
        return members.stream().mapToLong(SimulatedMember::bytesSent).average().orElse(0);
    }

    /** Datagrams sent so far by all members. */
    public long datagramsSent() {
        return datagramsSent;
    }
}
