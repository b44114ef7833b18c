package loadbalancer.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;
import java.util.stream.IntStream;

/**
 * Chooses which updates go into which message. Each new update is sent a bounded number of times,
 * those sent least often first; beside them the whole view is sent page by page.
 */
final class UpdateDissemination {
    // Times that an update is sent, as a multiple of the bits of the number of members plus one.
    private static final int RETRANSMIT_MULTIPLIER = 3;
    private static final long GOLDEN_RATIO = 0x9e3779b97f4a7c15L;

    private final int transmitLimit;
    // By member: how often its latest update has still to be sent.
    private final int[] remainingTransmits;
    // Members with an update to be sent
    private int pendingCount;
    private long gossipCounter;
    private int syncCursor;

    UpdateDissemination(int self, int memberCount) {
        transmitLimit = RETRANSMIT_MULTIPLIER * (33 - Integer.numberOfLeadingZeros(memberCount));
        remainingTransmits = new int[memberCount];
        gossipCounter = (long) self << 32;
    }

    UpdateDissemination(UpdateDissemination other) {
        transmitLimit = other.transmitLimit;
        remainingTransmits = other.remainingTransmits.clone();
        pendingCount = other.pendingCount;
        gossipCounter = other.gossipCounter;
        syncCursor = other.syncCursor;
    }

    /** Has a member's latest update sent from now on, as often as a new one. */
    void enqueue(int member) {
        if (remainingTransmits[member] == 0) {
            pendingCount++;
        }
        remainingTransmits[member] = transmitLimit;
    }

    /** Number of members with an update to be sent. */
    int pendingCount() {
        return pendingCount;
    }

    /** Takes the updates for one message, at most {@code limit}; the list is the caller's. */
    List<MemberUpdate> select(int limit, IntFunction<MemberUpdate> latestUpdates) {
        if (pendingCount == 0) {
            return new ArrayList<>();
        }
        List<MemberUpdate> selected = new ArrayList<>();
        for (int member : leastSentMembers(limit)) {
            selected.add(latestUpdates.apply(member));
            remainingTransmits[member]--;
            if (remainingTransmits[member] == 0) {
                pendingCount--;
            }
        }
        return selected;
    }

    private List<Integer> leastSentMembers(int limit) {
        int[] pendingMembers =
                IntStream.range(0, remainingTransmits.length)
                        .filter(member -> remainingTransmits[member] > 0)
                        .toArray();
        int count = Math.min(limit, pendingMembers.length);
        List<Integer> members = new ArrayList<>(count);
        for (int remaining = transmitLimit; members.size() < count; remaining--) {
            for (int member : pendingMembers) {
                if (remainingTransmits[member] == remaining && members.size() < count) {
                    members.add(member);
                }
            }
        }
        return members;
    }

    /** The next page of the whole view. */
    List<MemberUpdate> nextSyncPage(IntFunction<MemberUpdate> latestUpdates) {
        int memberCount = remainingTransmits.length;
        int count = Math.min(MembershipMessage.MAX_UPDATES, memberCount);
        List<MemberUpdate> page = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            page.add(latestUpdates.apply(syncCursor));
            syncCursor = (syncCursor + 1) % memberCount;
        }
        return page;
    }

    /**
     * The member after which to look for the next receiver of updates. Scattered by the golden
     * ratio: in order of numbers, neighbours would send to the same members.
     */
    int nextGossipStart() {
        gossipCounter++;
        long fraction31Bits = (gossipCounter * GOLDEN_RATIO) >>> 33;
        return (int) ((fraction31Bits * remainingTransmits.length) >>> 31);
    }

    int remainingTransmits(int member) {
        return remainingTransmits[member];
    }

    /** Part of the fingerprint of {@link Membership}. */
    long gossipCounter() {
        return gossipCounter;
    }
}
