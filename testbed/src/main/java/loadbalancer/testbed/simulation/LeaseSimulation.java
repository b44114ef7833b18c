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
 * Many members in virtual time that run the production {@link LeaseManager} on the views of a
 * {@link MembershipSimulation}: how soon a lease is transferred, whether two members ever hold the
 * same one, and what the protocol costs. Single-threaded; deterministic by the seed.
 */
public final class LeaseSimulation implements MembershipSimulation.ViewListener {
    private static final long DISK_SYNC_MICROS = 5_000;
    private static final int HISTOGRAM_DIGITS = 3;
    // Separates the seeds of lease managers of neighbouring simulation seeds
    private static final long SEED_STRIDE = 1_000_003;
    private static final int NO_HOLDER = -1;
    // The slot is held, or its holder did not end
    private static final long NOT_FREED = -1;
    private static final long NO_TIMER = Long.MAX_VALUE;

    private final MembershipSimulation membership;
    private final VirtualTimeScheduler scheduler;
    private final LeaseTiming timing;
    private final boolean durable;
    private final long seed;
    private final LeaseManager[] leaseManagers;
    private final List<List<VoterPromise>> persistedPromises = new ArrayList<>();
    // By member: when its timer is due
    private final long[] timerDueMicros;
    // By slot: when its holder ended
    private final long[] freeSinceMicros;
    private final int[] holders;
    private final Histogram transferTimes = new Histogram(HISTOGRAM_DIGITS);
    private final List<String> doubleHolders = new ArrayList<>();
    private long startCount;
    private long bytesSent;
    private long datagramsSent;
    private long acquisitions;

    /**
     * Creates a cluster whose members all start at time 0.
     *
     * @param lossProbability of each datagram
     * @param durable whether voters' promises outlive a process
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
        freeSinceMicros = new long[timing.slotCount()];
        holders = new int[timing.slotCount()];
        Arrays.fill(freeSinceMicros, NOT_FREED);
        Arrays.fill(holders, NO_HOLDER);
        IntStream.range(0, memberCount).forEach(member -> persistedPromises.add(List.of()));
        membership.setListener(this);
    }

    // ------------------------------------------------------------ processes

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
                        seed * SEED_STRIDE + ++startCount,
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

    // One timer is valid at a time; an earlier one replaces it.
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

    /** Plays {@code durationMicros} µs more. */
    public void runFor(long durationMicros) {
        membership.runFor(durationMicros);
    }

    /** Kills the process of a member, or ends it gracefully. */
    public void endProcess(int member, boolean graceful) {
        for (int slot = 0; slot < holders.length; slot++) {
            if (holders[slot] == member) {
                freeSinceMicros[slot] = scheduler.nowMicros();
                holders[slot] = NO_HOLDER;
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

    // ------------------------------------------------------------ actions of lease managers

    private void perform(int member, List<LeaseManager.Action> actions) {
        for (LeaseManager.Action action : actions) {
            if (action instanceof LeaseManager.Send send) {
                send(member, send);
            } else if (action instanceof LeaseManager.Persist persist) {
                persist(member, persist);
            } else if (action instanceof LeaseManager.Acquired acquired) {
                recordAcquisition(member, acquired.slot());
            } else if (action instanceof LeaseManager.Released released
                    && holders[released.slot()] == member) {
                holders[released.slot()] = NO_HOLDER;
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

    // ------------------------------------------------------------ measurements

    private void recordAcquisition(int member, int slot) {
        acquisitions++;
        for (int other = 0; other < leaseManagers.length; other++) {
            if (other != member && holds(other, slot)) {
                recordDoubleHolder(slot, other, member);
            }
        }
        holders[slot] = member;
        if (freeSinceMicros[slot] != NOT_FREED) {
            transferTimes.recordValue(scheduler.nowMicros() - freeSinceMicros[slot]);
            freeSinceMicros[slot] = NOT_FREED;
        }
    }

    private boolean holds(int member, int slot) {
        return membership.isRunning(member)
                && leaseManagers[member].currentLease(scheduler.nowMicros(), slot).isPresent();
    }

    private void recordDoubleHolder(int slot, int first, int second) {
        if (doubleHolders.size() < MembershipSimulation.MAX_RECORDED_VIOLATIONS) {
            doubleHolders.add(
                    String.format(
                            Locale.ROOT,
                            "slot %d by n%d and n%d at %.3f s",
                            slot,
                            first,
                            second,
                            scheduler.nowMicros() / 1e6));
        }
    }

    /** The member that holds the most slots; the first of several. */
    public int busiestMember() {
        int[] slotCounts = new int[leaseManagers.length];
        Arrays.stream(holders)
                .filter(member -> member != NO_HOLDER)
                .forEach(member -> slotCounts[member]++);
        return IntStream.range(0, slotCounts.length)
                .reduce((first, second) -> slotCounts[second] > slotCounts[first] ? second : first)
                .getAsInt();
    }

    /** The number of slots that some member holds. */
    public long heldSlots() {
        return Arrays.stream(holders).filter(member -> member != NO_HOLDER).count();
    }

    /** Time in µs from the end of a slot's holder until another member acquired the slot. */
    public Histogram transferTimes() {
        return transferTimes;
    }

    /** Slots that two members held at once; at most 100. */
    public List<String> doubleHolders() {
        return doubleHolders;
    }

    /** Bytes of all messages sent so far by all members. */
    public long bytesSent() {
        return bytesSent;
    }

    /** Messages sent so far by all members. */
    public long datagramsSent() {
        return datagramsSent;
    }

    /** How often a slot was acquired so far. */
    public long acquisitions() {
        return acquisitions;
    }
}
