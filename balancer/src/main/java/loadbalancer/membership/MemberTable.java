package loadbalancer.membership;

import java.util.Arrays;
import java.util.function.Predicate;

/**
 * Stores what one member knows of all members: their latest updates and the times of their status
 * changes. Only the caller's event loop uses it.
 */
final class MemberTable {
    /** Stands for the absence of a member. */
    static final int NO_MEMBER = -1;

    // A process that is starting up may be slow, so it has more time to refute a suspicion.
    private static final long STARTUP_MICROS = 5_000_000;
    private static final int STARTUP_SUSPICION_MULTIPLIER = 4;
    // A suspicion learned from others lasts longer than one that began at this member.
    private static final int REMOTE_SUSPICION_MULTIPLIER = 3;

    private final int self;
    private final MembershipTiming timing;
    private final MemberUpdate[] latestUpdates;
    private final long[] statusSinceMicros;
    // Suspicions that began at this member.
    private final boolean[] locallySuspected;
    // When this member learned of each member's return; initially, when this member started.
    private final long[] startedAtMicros;
    private int suspectCount;
    private long viewVersion;

    MemberTable(
            int self, int memberCount, MembershipTiming timing, long incarnation, long nowMicros) {
        this.self = self;
        this.timing = timing;
        latestUpdates = new MemberUpdate[memberCount];
        for (int member = 0; member < memberCount; member++) {
            latestUpdates[member] = new MemberUpdate(member, MemberStatus.ALIVE, 0);
        }
        latestUpdates[self] = new MemberUpdate(self, MemberStatus.ALIVE, incarnation);
        statusSinceMicros = new long[memberCount];
        Arrays.fill(statusSinceMicros, nowMicros);
        startedAtMicros = statusSinceMicros.clone();
        locallySuspected = new boolean[memberCount];
    }

    MemberTable(MemberTable other) {
        self = other.self;
        timing = other.timing;
        latestUpdates = other.latestUpdates.clone();
        statusSinceMicros = other.statusSinceMicros.clone();
        locallySuspected = other.locallySuspected.clone();
        startedAtMicros = other.startedAtMicros.clone();
        suspectCount = other.suspectCount;
        viewVersion = other.viewVersion;
    }

    int self() {
        return self;
    }

    int size() {
        return latestUpdates.length;
    }

    MemberUpdate latestUpdate(int member) {
        return latestUpdates[member];
    }

    MemberStatus status(int member) {
        return latestUpdates[member].status();
    }

    /** Returns the incarnation of this member. */
    long incarnation() {
        return latestUpdates[self].incarnation();
    }

    MembershipView view() {
        return new MembershipView(viewVersion, self, Arrays.asList(latestUpdates));
    }

    /** Replaces this member's update about itself. */
    void updateSelf(MemberStatus status, long incarnation) {
        latestUpdates[self] = new MemberUpdate(self, status, incarnation);
    }

    /**
     * Result of {@link #apply}.
     *
     * @param disseminated whether the update has to be sent to others; false for the first contact
     *     with a member that is alive, because each member learns of it from that member itself
     * @param viewChanged whether the view has changed
     */
    record ApplyResult(boolean disseminated, boolean viewChanged) {
        private static final ApplyResult IGNORED = new ApplyResult(false, false);
    }

    /** Stores an update about another member unless it is superseded by the stored one. */
    ApplyResult apply(long nowMicros, MemberUpdate update) {
        int member = update.member();
        MemberUpdate previous = latestUpdates[member];
        if (!update.supersedes(previous)) {
            return ApplyResult.IGNORED;
        }
        boolean suspected = update.status() == MemberStatus.SUSPECTED;
        boolean wasSuspected = previous.status() == MemberStatus.SUSPECTED;
        if (!suspected) {
            locallySuspected[member] = false;
        }
        if (!suspected || !wasSuspected) {
            statusSinceMicros[member] = nowMicros;
        }
        if (!previous.status().isPresent() && update.status() == MemberStatus.ALIVE) {
            startedAtMicros[member] = nowMicros;
        }
        suspectCount += (suspected ? 1 : 0) - (wasSuspected ? 1 : 0);
        latestUpdates[member] = update;
        boolean firstContact = previous.incarnation() == 0;
        boolean changed = !firstContact || update.status() != previous.status();
        if (changed) {
            viewVersion++;
        }
        return new ApplyResult(!firstContact || update.status() != MemberStatus.ALIVE, changed);
    }

    /** Records that this member starts a suspicion, whose update is applied next. */
    void markLocallySuspected(int member) {
        locallySuspected[member] = true;
    }

    boolean isLocallySuspected(int member) {
        return locallySuspected[member];
    }

    boolean hasSuspects() {
        return suspectCount > 0;
    }

    boolean isSuspected(int member) {
        return status(member) == MemberStatus.SUSPECTED;
    }

    /** Returns when a suspected member is declared dead, µs. */
    long suspicionDeadlineMicros(int member) {
        long timeoutMicros = timing.suspicionTimeoutMicros();
        if (statusSinceMicros[member] - startedAtMicros[member] < STARTUP_MICROS) {
            timeoutMicros *= STARTUP_SUSPICION_MULTIPLIER;
        }
        if (!locallySuspected[member]) {
            timeoutMicros *= REMOTE_SUSPICION_MULTIPLIER;
        }
        return statusSinceMicros[member] + timeoutMicros;
    }

    /** Extends all suspicions by the time that this process was paused, µs. */
    void extendSuspicions(long pauseMicros) {
        for (int member = 0; member < latestUpdates.length; member++) {
            if (isSuspected(member)) {
                statusSinceMicros[member] += pauseMicros;
            }
        }
    }

    /**
     * Returns the next present member after {@code previous}, excluding this one, or {@link
     * #NO_MEMBER}.
     */
    int nextPresent(int previous) {
        return nextMember(previous, MemberStatus::isPresent);
    }

    /** Returns the next dead member after {@code previous}, or {@link #NO_MEMBER}. */
    int nextDead(int previous) {
        return nextMember(previous, status -> status == MemberStatus.DEAD);
    }

    private int nextMember(int previous, Predicate<MemberStatus> matches) {
        for (int offset = 1; offset <= latestUpdates.length; offset++) {
            int member = (previous + offset) % latestUpdates.length;
            if (member != self && matches.test(status(member))) {
                return member;
            }
        }
        return NO_MEMBER;
    }

    /** Appends what is known of one member to a hash, with times relative to {@code nowMicros}. */
    long appendFingerprint(long previousHash, int member, int remainingTransmits, long nowMicros) {
        long suspectedMicros = isSuspected(member) ? nowMicros - statusSinceMicros[member] : 0;
        boolean startingUp = nowMicros - startedAtMicros[member] < STARTUP_MICROS;
        long hash = previousHash * 31 + latestUpdates[member].incarnation();
        return hash * 31
                + status(member).ordinal()
                + 8L * remainingTransmits
                + (locallySuspected[member] ? 4 : 0)
                + 4096 * suspectedMicros
                + (startingUp ? 1 << 30 : 0);
    }
}
