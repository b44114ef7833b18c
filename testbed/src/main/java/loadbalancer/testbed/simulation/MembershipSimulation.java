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
 * Simulates a cluster whose members run the production {@link Membership}. Measures how soon a
 * killed member is detected, whether a running member is ever declared dead, and what the protocol
 * costs. The seed determines the whole run. Used only by the thread that runs the simulation.
 */
public final class MembershipSimulation {
    /** The result of {@link #runUntilConverged} if the views do not converge in time. */
    public static final long NOT_CONVERGED = -1;

    /** The wall clock of all members at time 0 of the simulation, in ms since the epoch. */
    private static final long WALL_CLOCK_EPOCH_MS = 1_700_000_000_000L;

    /** The maximum number of descriptions that a simulation keeps per kind of violation. */
    static final int MAX_RECORDED_VIOLATIONS = 100;

    // Limits of the one-way delay of a datagram.
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
    // Datagrams pass only between members for which this predicate has the same value.
    private IntPredicate partitionSide = MembershipSimulation::sameSide;
    private long datagramsSent;
    private ViewListener listener = ViewListener.NONE;

    /**
     * Listens to the processes and the views of the members, for a protocol that builds on them.
     */
    interface ViewListener {
        /** Ignores all events. */
        ViewListener NONE =
                new ViewListener() {
                    @Override
                    public void onStarted(int member) {}

                    @Override
                    public void onViewChanged(int member, MembershipView view) {}
                };

        /** Handles the start of a process of the member. */
        void onStarted(int member);

        /** Handles a change of the member's view. */
        void onViewChanged(int member, MembershipView view);
    }

    /**
     * Creates a cluster whose members all start at time 0.
     *
     * @param lossProbability probability that a datagram is lost
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

    /** Sets the listener and notifies it of the start of every member. */
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

    /** Returns the time of the wall clock that all members share, in ms since the epoch. */
    long wallClockMs() {
        return WALL_CLOCK_EPOCH_MS + scheduler.nowMicros() / 1000;
    }

    private void start(int member) {
        long incarnation = wallClockMs();
        Membership membership =
                new Membership(
                        member,
                        members.size(),
                        MembershipTiming.DEFAULT,
                        incarnation,
                        scheduler.nowMicros());
        members.get(member).start(membership, incarnation);
        scheduleTick(member);
        listener.onStarted(member);
    }

    private void scheduleTick(int member) {
        scheduleTimer(
                member,
                members.get(member).membership().nextTickMicros(),
                () -> {
                    Membership membership = members.get(member).membership();
                    perform(member, membership.tick(scheduler.nowMicros()));
                    scheduleTick(member);
                });
    }

    /**
     * Schedules a timer of the current process of a member. The action runs at {@code dueMicros} or
     * up to 1 ms later, like the timers of an event loop. It does not run if the process has ended
     * by then.
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

    /** Continues the simulation for {@code durationMicros} µs. */
    public void runFor(long durationMicros) {
        scheduler.runUntil(scheduler.nowMicros() + durationMicros);
    }

    /** Kills the process of a member. */
    public void kill(int member) {
        members.get(member).kill(scheduler.nowMicros());
    }

    /** Ends the process of a member gracefully: the member tells the others that it leaves. */
    public void leave(int member) {
        perform(member, members.get(member).membership().leave(scheduler.nowMicros()));
        members.get(member).leave();
    }

    /** Starts a new process of a member, which keeps no state of the earlier one. */
    public void restart(int member) {
        start(member);
    }

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
        members.get(sender).addBytesSent(payload.length);
        datagramsSent++;
        sendDatagram(sender, send.to(), () -> receive(sender, send.to(), payload));
    }

    private void receive(int sender, int recipient, byte[] payload) {
        MembershipMessage message = MembershipMessage.decode(payload).orElseThrow();
        Membership membership = members.get(recipient).membership();
        perform(recipient, membership.onPeerMessage(scheduler.nowMicros(), sender, message));
    }

    /**
     * Sends a datagram, which may be lost.
     *
     * @param onArrival runs when the datagram arrives, if the recipient is running then
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

    /**
     * Partitions the network: only members with the same value of the predicate can communicate.
     */
    public void partition(IntPredicate newPartitionSide) {
        partitionSide = newPartitionSide;
    }

    // Without a partition all members are on the same side.
    private static boolean sameSide(int member) {
        return true;
    }

    /** Ends the partition. */
    public void heal() {
        partitionSide = MembershipSimulation::sameSide;
    }

    private void recordChange(int observer, Membership.ViewChanged change) {
        if (change.update().status() != MemberStatus.DEAD) {
            return;
        }
        int subject = change.update().member();
        SimulatedMember member = members.get(subject);
        if (member.isKilled()) {
            // Only the first detection by an observer counts. The observer may declare the member
            // dead again with higher incarnations.
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
     * Returns whether at least one member is running, and the view of every running member has
     * exactly the running members present.
     */
    public boolean isConverged() {
        boolean anyRunning = false;
        for (SimulatedMember member : members) {
            if (member.isRunning()) {
                anyRunning = true;
                if (!isAccurate(member.membership().view())) {
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
     * Continues the simulation until {@link #isConverged}, which is checked every 20 ms. Returns
     * the time in µs that this took, or {@link #NOT_CONVERGED} if it takes longer than {@code
     * maxMicros}.
     */
    public long runUntilConverged(long maxMicros) {
        long startMicros = scheduler.nowMicros();
        while (scheduler.nowMicros() - startMicros <= maxMicros) {
            if (isConverged()) {
                return scheduler.nowMicros() - startMicros;
            }
            runFor(CONVERGENCE_CHECK_INTERVAL_MICROS);
        }
        return NOT_CONVERGED;
    }

    /** Returns the times in µs from the kill of a member to its detection, for each observer. */
    public Histogram detectionTimes() {
        return detectionTimes;
    }

    /**
     * Returns descriptions of running members that were declared dead; at most 100. Members that
     * are declared dead because of a partition are included.
     */
    public List<String> falsePositives() {
        return falsePositives;
    }

    /** Returns the mean number of bytes that a member has sent. */
    public double meanBytesSent() {
        return members.stream().mapToLong(SimulatedMember::bytesSent).average().orElse(0);
    }

    /** Returns the number of datagrams that all members have sent. */
    public long datagramsSent() {
        return datagramsSent;
    }
}
