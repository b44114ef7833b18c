package loadbalancer.testbed.simulation;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;
import loadbalancer.lease.LeaseManager;
import loadbalancer.lease.LeaseMessage;
import loadbalancer.lease.LeaseTiming;
import loadbalancer.lease.VoterPromise;
import loadbalancer.membership.MembershipView;
import org.HdrHistogram.Histogram;

/**
 * Simulates a cluster whose members run the production {@link LeaseManager} on the views of a
 * {@link MembershipSimulation}. Measures how soon a lease is transferred, whether two members ever
 * hold the same lease, and what the protocol costs. The seed determines the whole run. Used only by
 * the thread that runs the simulation.
 */
public final class LeaseSimulation implements MembershipSimulation.ViewListener {
    private static final long DISK_SYNC_MICROS = 5_000;
    private static final int HISTOGRAM_DIGITS = 3;
    // Keeps the lease managers' seeds of simulations with consecutive seeds apart.
    private static final long SEED_STRIDE = 1_000_003;
    private static final int NO_HOLDER = -1;
    // Marks a slot that is held or whose holder's process did not end.
    private static final long NOT_FREED = -1;
    private static final long NO_TIMER = Long.MAX_VALUE;

    private final MembershipSimulation membership;
    private final VirtualTimeScheduler scheduler;
    private final LeaseTiming timing;
    private final boolean durable;
    private final long seed;
    private final LeaseManager[] leaseManagers;
    private final List<List<VoterPromise>> persistedPromises = new ArrayList<>();
    // Time in µs at which the timer of each member is due.
    private final long[] timerDueMicros;
    // Time in µs at which the holder of each slot ended.
    private final long[] freeSinceMicrosBySlot;
    // The member that holds each slot.
    private final int[] holderBySlot;
    private final Histogram transferTimes = new Histogram(HISTOGRAM_DIGITS);
    private final List<String> doubleHoldings = new ArrayList<>();
    private long processCount;
    private long bytesSent;
    private long datagramsSent;
    private long acquisitions;

    /**
     * Creates a cluster whose members all start at time 0.
     *
     * @param lossProbability probability that a datagram is lost
     * @param durable whether voters' promises outlive their process
     */
    public LeaseSimulation(
            int memberCount,
            double lossProbability,
            boolean durable,
            LeaseTiming timing,
            long seed) {
        this.timing = timing;
        this.durable = durable;
        this.seed = seed;
        membership = new MembershipSimulation(memberCount, lossProbability, seed);
        scheduler = membership.scheduler();
        leaseManagers = new LeaseManager[memberCount];
        timerDueMicros = new long[memberCount];
        freeSinceMicrosBySlot = new long[timing.slotCount()];
        holderBySlot = new int[timing.slotCount()];
        Arrays.fill(freeSinceMicrosBySlot, NOT_FREED);
        Arrays.fill(holderBySlot, NO_HOLDER);
        IntStream.range(0, memberCount).forEach(member -> persistedPromises.add(List.of()));
        membership.setListener(this);
    }

    @Override
    public void onStarted(int member) {
        leaseManagers[member] =
                new LeaseManager(
                        member,
                        leaseManagers.length,
                        timing,
                        persistedPromises.get(member),
                        durable,
                        membership.wallClockMs(),
                        seed * SEED_STRIDE + ++processCount,
                        scheduler.nowMicros());
        timerDueMicros[member] = NO_TIMER;
        scheduleTick(member);
    }

    @Override
    public void onViewChanged(int member, MembershipView view) {
        perform(
                member,
                leaseManagers[member].onMembershipChanged(scheduler.nowMicros(), view::isPresent));
    }

    // Each member has one valid timer. A timer that is due earlier replaces it.
    private void scheduleTick(int member) {
        LeaseManager leaseManager = leaseManagers[member];
        long nextMicros = leaseManager.nextTickMicros();
        if (nextMicros >= timerDueMicros[member]
                && timerDueMicros[member] > scheduler.nowMicros()) {
            return;
        }
        timerDueMicros[member] = nextMicros;
        membership.scheduleTimer(
                member,
                nextMicros,
                () -> {
                    if (leaseManagers[member] == leaseManager
                            && timerDueMicros[member] == nextMicros) {
                        timerDueMicros[member] = NO_TIMER;
                        perform(member, leaseManager.tick(scheduler.nowMicros()));
                    }
                });
    }

    /** Continues the simulation for {@code durationMicros} µs. */
    public void runFor(long durationMicros) {
        membership.runFor(durationMicros);
    }

    /** Ends the process of a member, gracefully or by killing it. */
    public void endProcess(int member, boolean graceful) {
        for (int slot = 0; slot < holderBySlot.length; slot++) {
            if (holderBySlot[slot] == member) {
                freeSinceMicrosBySlot[slot] = scheduler.nowMicros();
                holderBySlot[slot] = NO_HOLDER;
            }
        }
        if (graceful) {
            perform(member, leaseManagers[member].leave(scheduler.nowMicros()));
            membership.leave(member);
        } else {
            membership.kill(member);
        }
    }

    /** Starts a new process of a member. */
    public void restart(int member) {
        membership.restart(member);
    }

    private void perform(int member, List<LeaseManager.Action> actions) {
        for (LeaseManager.Action action : actions) {
            if (action instanceof LeaseManager.Send send) {
                send(member, send);
            } else if (action instanceof LeaseManager.Persist persist) {
                persist(member, persist);
            } else if (action instanceof LeaseManager.Acquired acquired) {
                recordAcquisition(member, acquired.slot());
            } else if (action instanceof LeaseManager.Released released
                    && holderBySlot[released.slot()] == member) {
                holderBySlot[released.slot()] = NO_HOLDER;
            }
        }
        scheduleTick(member);
    }

    private void send(int sender, LeaseManager.Send send) {
        byte[] payload = send.message().encode();
        bytesSent += payload.length;
        datagramsSent++;
        membership.sendDatagram(sender, send.to(), () -> receive(sender, send.to(), payload));
    }

    private void receive(int sender, int recipient, byte[] payload) {
        LeaseMessage message = LeaseMessage.decode(payload).orElseThrow();
        perform(
                recipient,
                leaseManagers[recipient].onPeerMessage(scheduler.nowMicros(), sender, message));
    }

    private void persist(int member, LeaseManager.Persist persist) {
        membership.scheduleTimer(
                member,
                scheduler.nowMicros() + DISK_SYNC_MICROS,
                () -> {
                    persistedPromises.set(member, persist.promises());
                    perform(
                            member,
                            leaseManagers[member].onPersisted(
                                    scheduler.nowMicros(), persist.writeId(), true));
                });
    }

    private void recordAcquisition(int member, int slot) {
        acquisitions++;
        for (int other = 0; other < leaseManagers.length; other++) {
            if (other != member && holds(other, slot)) {
                recordDoubleHolding(slot, other, member);
            }
        }
        holderBySlot[slot] = member;
        if (freeSinceMicrosBySlot[slot] != NOT_FREED) {
            transferTimes.recordValue(scheduler.nowMicros() - freeSinceMicrosBySlot[slot]);
            freeSinceMicrosBySlot[slot] = NOT_FREED;
        }
    }

    private boolean holds(int member, int slot) {
        return membership.isRunning(member)
                && leaseManagers[member].currentLease(scheduler.nowMicros(), slot).isPresent();
    }

    private void recordDoubleHolding(int slot, int first, int second) {
        if (doubleHoldings.size() < MembershipSimulation.MAX_RECORDED_VIOLATIONS) {
            doubleHoldings.add(
                    String.format(
                            Locale.ROOT,
                            "slot %d by n%d and n%d at %.3f s",
                            slot,
                            first,
                            second,
                            scheduler.nowMicros() / 1e6));
        }
    }

    /** Returns the member that holds the most slots, the lowest-numbered of several. */
    public int memberWithMostSlots() {
        int[] slotCounts = new int[leaseManagers.length];
        Arrays.stream(holderBySlot)
                .filter(member -> member != NO_HOLDER)
                .forEach(member -> slotCounts[member]++);
        return IntStream.range(0, slotCounts.length)
                .reduce((first, second) -> slotCounts[second] > slotCounts[first] ? second : first)
                .getAsInt();
    }

    /** Returns the number of slots that are held. */
    public long heldSlots() {
        return Arrays.stream(holderBySlot).filter(member -> member != NO_HOLDER).count();
    }

    /** Returns the times in µs from the end of a slot's holder to the slot's next acquisition. */
    public Histogram transferTimes() {
        return transferTimes;
    }

    /** Returns descriptions of slots that two members held at the same time; at most 100. */
    public List<String> doubleHoldings() {
        return doubleHoldings;
    }

    /** Returns the bytes of all messages that all members have sent. */
    public long bytesSent() {
        return bytesSent;
    }

    /** Returns the number of messages that all members have sent. */
    public long datagramsSent() {
        return datagramsSent;
    }

    /** Returns the number of acquisitions of slots so far. */
    public long acquisitions() {
        return acquisitions;
    }
}
