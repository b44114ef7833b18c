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
 * Duties of many members in simulated time, on their own membership, by the machines that balancers
 * run: how soon a duty is passed on, whether two ever hold one, and what it costs.
 */
public final class LeaseSimulation implements MembershipSimulation.ViewListener {
    // µs that a disk takes
    private static final long DISK_SYNC_MICROS = 5_000;
    // ms of the wall clock at time 0
    private static final long WALL_CLOCK_EPOCH_MS = 1_700_000_000_000L;

    private final MembershipSimulation membership;
    private final VirtualTimeScheduler scheduler;
    private final LeaseTiming timing;
    private final LeaseManager[] leaseManagers;
    private final List<List<VoterPromise>> persistedPromises = new ArrayList<>();
    private final boolean durable;
    // By slot: since its holder's end; -1: held, or never was
    private final long[] freeSinceMicros;
    private final int[] holders;
    private final long[] wakeAtMicros;
    private final long seed;
    private final Histogram transferTimes = new Histogram(3);
    private final List<String> doubleHolders = new ArrayList<>();
    private long startCount;
    private long bytesSent;
    private long datagramsSent;
    private long acquisitions;

    /**
     * {@code lossProbability}: the part of the datagrams that never comes; {@code durable}:
     * promises outlive a process.
     */
    public LeaseSimulation(
            int count, double lossProbability, boolean durable, LeaseTiming timing, long seed) {
        this.timing = timing;
        this.durable = durable;
        this.seed = seed;
        membership = new MembershipSimulation(count, lossProbability, seed);
        scheduler = membership.scheduler();
        leaseManagers = new LeaseManager[count];
        freeSinceMicros = new long[timing.slotCount()];
        holders = new int[timing.slotCount()];
        wakeAtMicros = new long[count];
        Arrays.fill(freeSinceMicros, -1);
        Arrays.fill(holders, -1);
        IntStream.range(0, count).forEach(member -> persistedPromises.add(List.of()));
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
                        WALL_CLOCK_EPOCH_MS + scheduler.nowMicros() / 1000,
                        seed * 1_000_003 + ++startCount,
                        scheduler.nowMicros());
        wakeAtMicros[member] = Long.MAX_VALUE;
        scheduleWake(member);
    }

    @Override
    public void onViewChanged(int member, MembershipView view) {
        perform(
                member,
                leaseManagers[member].onMembershipChanged(scheduler.nowMicros(), view::isPresent));
    }

    // One wake is set at a time, and an earlier one in its place when something has happened.
    private void scheduleWake(int member) {
        LeaseManager leaseManager = leaseManagers[member];
        long nextMicros = leaseManager.nextTickMicros();
        if (nextMicros >= wakeAtMicros[member] && wakeAtMicros[member] > scheduler.nowMicros()) {
            return;
        }
        wakeAtMicros[member] = nextMicros;
        membership.scheduleWake(
                member,
                nextMicros,
                () -> {
                    if (leaseManagers[member] == leaseManager
                            && wakeAtMicros[member] == nextMicros) {
                        wakeAtMicros[member] = Long.MAX_VALUE;
                        perform(member, leaseManager.tick(scheduler.nowMicros()));
                    }
                });
    }

    private void perform(int member, List<LeaseManager.Action> acts) {
        for (LeaseManager.Action action : acts) {
            if (action instanceof LeaseManager.Send send) {
                byte[] payload = send.message().encode();
                bytesSent += payload.length;
                datagramsSent++;
                int recipient = send.to();
                membership.sendDatagram(
                        member,
                        recipient,
                        () ->
                                perform(
                                        recipient,
                                        leaseManagers[recipient].onPeerMessage(
                                                scheduler.nowMicros(),
                                                member,
                                                LeaseMessage.decode(payload).orElseThrow())));
            } else if (action instanceof LeaseManager.Persist persist) {
                membership.scheduleWake(
                        member,
                        scheduler.nowMicros() + DISK_SYNC_MICROS,
                        () -> {
                            persistedPromises.set(member, persist.promises());
                            perform(
                                    member,
                                    leaseManagers[member].onPersisted(
                                            scheduler.nowMicros(), persist.writeId(), true));
                        });
            } else if (action instanceof LeaseManager.Acquired leaseEvent) {
                recordAcquisition(member, leaseEvent.slot());
            } else if (action instanceof LeaseManager.Released leaseEvent
                    && holders[leaseEvent.slot()] == member) {
                holders[leaseEvent.slot()] = -1;
            }
        }
        scheduleWake(member);
    }

    private void recordAcquisition(int member, int slot) {
        acquisitions++;
        for (int other = 0; other < leaseManagers.length; other++) {
            if (other != member
                    && membership.isRunning(other)
                    && leaseManagers[other].currentLease(scheduler.nowMicros(), slot).isPresent()
                    && doubleHolders.size() < 100) {
                doubleHolders.add(
                        String.format(
                                Locale.ROOT,
                                "slot %d by n%d and n%d at %.3f s",
                                slot,
                                other,
                                member,
                                scheduler.nowMicros() / 1e6));
            }
        }
        holders[slot] = member;
        if (freeSinceMicros[slot] >= 0) {
            transferTimes.recordValue(scheduler.nowMicros() - freeSinceMicros[slot]);
            freeSinceMicros[slot] = -1;
        }
    }

    /** Plays so many µs more. */
    public void runFor(long durationMicros) {
        membership.runFor(durationMicros);
    }

    /** A process ends without a word, or ({@code graceful}) in order. */
    public void endProcess(int member, boolean graceful) {
        for (int slot = 0; slot < holders.length; slot++) {
            if (holders[slot] == member) {
                freeSinceMicros[slot] = scheduler.nowMicros();
                holders[slot] = -1;
            }
        }
        if (graceful) {
            perform(member, leaseManagers[member].leave(scheduler.nowMicros()));
            membership.leave(member);
        } else {
            membership.kill(member);
        }
    }

    /** It starts again. */
    public void restart(int member) {
        membership.restart(member);
    }

    /** Who holds most now, of those that run. */
    public int busiestMember() {
        int[] slotCounts = new int[leaseManagers.length];
        Arrays.stream(holders)
                .filter(member -> member >= 0)
                .forEach(member -> slotCounts[member]++);
        return IntStream.range(0, slotCounts.length)
                .reduce((first, second) -> slotCounts[second] > slotCounts[first] ? second : first)
                .getAsInt();
    }

    /** Slots that somebody holds. */
    public long heldSlots() {
        return Arrays.stream(holders).filter(member -> member >= 0).count();
    }

    /** µs from a holder's end until somebody else held its slot, of each slot. */
    public Histogram transferTimes() {
        return transferTimes;
    }

    /** Slots that two held at once, at most a hundred. */
    public List<String> doubleHolders() {
        return doubleHolders;
    }

    /** Bytes of all words so far, of all members. */
    public long bytesSent() {
        return bytesSent;
    }

    /** Words so far, of all members. */
    public long datagramsSent() {
        return datagramsSent;
    }

    /** Times that a slot was taken. */
    public long acquisitions() {
        return acquisitions;
    }
}
