package loadbalancer.testbed.simulation;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
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
 * Many members in simulated time, by the machine that balancers run: how soon a killed one is
 * known, whether a live one is ever held dead, and what it costs.
 */
public final class MembershipSimulation {
    // µs one way
    private static final long MIN_DELAY_MICROS = 1_200;
    private static final long MAX_DELAY_MICROS = 10_000;
    // µs that a loop's timers come late at most
    private static final long MAX_TIMER_LATENESS_MICROS = 1_000;
    // ms of the wall clock at time 0
    private static final long WALL_CLOCK_EPOCH_MS = 1_700_000_000_000L;

    private final VirtualTimeScheduler scheduler = new VirtualTimeScheduler();
    private final Membership[] members;
    private final int[] processGenerations;
    private final boolean[] down;
    private final long[] bytesSent;
    private final long[] killedAtMicros;
    // By member: who knows of its last end
    private final BitSet[] detectedBy;
    // incarnations that the present processes began with
    private final long[] initialIncarnations;
    private final double lossProbability;
    private final UniformRandomProvider random;
    private final Histogram detectionTimes = new Histogram(3);
    private final List<String> falsePositives = new ArrayList<>();
    // Of a cut: messages pass within a side only
    private IntPredicate partitionSide = member -> true;
    private long datagramsSent;
    private ViewListener listener;

    /** What goes by the members' views, and shares their fate and their paths. */
    interface ViewListener {
        /** A process of that member starts. */
        void onStarted(int member);

        /** It sees that. */
        void onViewChanged(int member, MembershipView view);
    }

    /** {@code lossProbability}: the part of the datagrams that never comes. */
    public MembershipSimulation(int count, double lossProbability, long seed) {
        this.lossProbability = lossProbability;
        random = RandomStreams.stream(seed, "members");
        members = new Membership[count];
        processGenerations = new int[count];
        down = new boolean[count];
        bytesSent = new long[count];
        killedAtMicros = new long[count];
        detectedBy = new BitSet[count];
        Arrays.setAll(detectedBy, member -> new BitSet(count));
        initialIncarnations = new long[count];
        Arrays.fill(killedAtMicros, -1);
        for (int member = 0; member < count; member++) {
            start(member);
        }
    }

    private void start(int member) {
        processGenerations[member]++;
        down[member] = false;
        killedAtMicros[member] = -1;
        initialIncarnations[member] = WALL_CLOCK_EPOCH_MS + scheduler.nowMicros() / 1000;
        members[member] =
                new Membership(
                        member,
                        members.length,
                        MembershipTiming.DEFAULT,
                        initialIncarnations[member],
                        scheduler.nowMicros());
        scheduleTick(member);
        if (listener != null) {
            listener.onStarted(member);
        }
    }

    /** From now on; it hears of all that run already. */
    void setListener(ViewListener newListener) {
        listener = newListener;
        for (int member = 0; member < members.length; member++) {
            listener.onStarted(member);
        }
    }

    VirtualTimeScheduler scheduler() {
        return scheduler;
    }

    boolean isRunning(int member) {
        return !down[member];
    }

    private void scheduleTick(int member) {
        scheduleWake(
                member,
                members[member].nextTickMicros(),
                () -> {
                    perform(member, members[member].tick(scheduler.nowMicros()));
                    scheduleTick(member);
                });
    }

    /**
     * Has something happen at that time, or a little late, if this process of the member still runs
     * then.
     */
    void scheduleWake(int member, long dueMicros, Runnable action) {
        int generation = processGenerations[member];
        long latenessMicros = (long) (random.nextDouble() * MAX_TIMER_LATENESS_MICROS);
        scheduler.schedule(
                dueMicros + latenessMicros,
                () -> {
                    if (processGenerations[member] == generation && !down[member]) {
                        action.run();
                    }
                });
    }

    private void perform(int sender, List<Membership.Action> acts) {
        for (Membership.Action action : acts) {
            if (action instanceof Membership.Send send) {
                send(sender, send);
            } else if (action instanceof Membership.ViewChanged changed) {
                recordChange(sender, changed);
                if (listener != null) {
                    listener.onViewChanged(sender, changed.view());
                }
            }
        }
    }

    private void send(int sender, Membership.Send send) {
        byte[] payload = send.message().encode();
        bytesSent[sender] += payload.length;
        datagramsSent++;
        int recipient = send.to();
        sendDatagram(
                sender,
                recipient,
                () ->
                        perform(
                                recipient,
                                members[recipient].onPeerMessage(
                                        scheduler.nowMicros(),
                                        sender,
                                        MembershipMessage.decode(payload).orElseThrow())));
    }

    /** What {@code recipient} does with a datagram, if that comes. */
    void sendDatagram(int sender, int recipient, Runnable onArrival) {
        if (random.nextDouble() < lossProbability
                || partitionSide.test(sender) != partitionSide.test(recipient)) {
            return;
        }
        scheduler.scheduleAfter(
                MIN_DELAY_MICROS
                        + (long) (random.nextDouble() * (MAX_DELAY_MICROS - MIN_DELAY_MICROS)),
                () -> {
                    if (!down[recipient]) {
                        onArrival.run();
                    }
                });
    }

    private void recordChange(int observer, Membership.ViewChanged change) {
        int member = change.update().member();
        if (change.update().status() != MemberStatus.DEAD) {
            return;
        }
        if (killedAtMicros[member] >= 0) {
            if (!detectedBy[member].get(observer)) {
                // What it held first; incarnations may follow
                detectedBy[member].set(observer);
                detectionTimes.recordValue(scheduler.nowMicros() - killedAtMicros[member]);
            }
        } else if (!down[member]
                && change.update().incarnation() >= initialIncarnations[member]
                && falsePositives.size() < 100) {
            falsePositives.add(
                    String.format(
                            Locale.ROOT,
                            "n%d held dead by n%d at %.3f s",
                            member,
                            observer,
                            scheduler.nowMicros() / 1e6));
        }
    }

    /** Plays so many µs more. */
    public void runFor(long durationMicros) {
        scheduler.runUntil(scheduler.nowMicros() + durationMicros);
    }

    /** A process ends without a word. */
    public void kill(int member) {
        down[member] = true;
        killedAtMicros[member] = scheduler.nowMicros();
        detectedBy[member].clear();
    }

    /** A process says that it leaves, and ends. */
    public void leave(int member) {
        perform(member, members[member].leave(scheduler.nowMicros()));
        down[member] = true;
    }

    /** It starts again, with an empty memory. */
    public void restart(int member) {
        start(member);
    }

    /**
     * From here on messages pass within the side that the test tells apart, and within the other.
     */
    public void partition(IntPredicate newPartitionSide) {
        partitionSide = newPartitionSide;
    }

    /** All paths are whole again. */
    public void heal() {
        partitionSide = member -> true;
    }

    /**
     * Whether all that run hold the same of every member, and hold each other present and the rest
     * not.
     */
    public boolean isConverged() {
        MembershipView first = null;
        for (int member = 0; member < members.length; member++) {
            if (down[member]) {
                continue;
            }
            MembershipView view = members[member].view();
            for (int other = 0; other < members.length; other++) {
                if (view.isPresent(other) == down[other]) {
                    return false;
                }
            }
            first = first == null ? view : first;
        }
        return first != null;
    }

    /** µs until {@link #isConverged}, looked at each 20 ms; -1: not within {@code maxMicros}. */
    public long microsUntilConverged(long maxMicros) {
        long startMicros = scheduler.nowMicros();
        while (scheduler.nowMicros() - startMicros <= maxMicros) {
            if (isConverged()) {
                return scheduler.nowMicros() - startMicros;
            }
            runFor(20_000);
        }
        return -1;
    }

    /** µs from a member's end until another knew it, of every pair. */
    public Histogram detectionTimes() {
        return detectionTimes;
    }

    /** Live members that somebody held dead while their paths were whole, at most a hundred. */
    public List<String> falsePositives() {
        return falsePositives;
    }

    /** Mean bytes that a member sent, of all so far. */
    public double meanBytesSent() {
        return Arrays.stream(bytesSent).average().orElse(0);
    }

    /** Datagrams sent by all. */
    public long datagramsSent() {
        return datagramsSent;
    }
}
