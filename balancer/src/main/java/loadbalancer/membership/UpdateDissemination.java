package loadbalancer.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;
import java.util.stream.IntStream;

/**
 * Selects the updates that go into each message. Each new update is sent a bounded number of times;
 * updates that were sent least often go first. In addition, the whole view is sent page by page.
 * Only the caller's event loop uses this class.
 */
final class UpdateDissemination {
    // An update is sent RETRANSMIT_MULTIPLIER * (bit length of the number of members + 1) times.
    private static final int RETRANSMIT_MULTIPLIER = 3;
    private static final long GOLDEN_RATIO = 0x9e3779b97f4a7c15L;

    private final int transmitLimit;
    // Number of times that the latest update of each member still has to be sent, by member.
    private final int[] remainingTransmits;
    // Number of members with an update to send.
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

    /** Queues a member's latest update to be sent as many times as a new one. */
    void enqueue(int member) {
        if (remainingTransmits[member] == 0) {
            pendingCount++;
        }
        remainingTransmits[member] = transmitLimit;
    }

    /** Returns the number of members with an update to send. */
    int pendingCount() {
        return pendingCount;
    }

    /**
     * Selects up to {@code limit} updates for one message and counts them as sent. The caller may
     * modify the list.
     */
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

    /** Returns the next page of the whole view. */
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
     * Returns the member after which to look for the next receiver of updates. Multiples of the
     * golden ratio spread these members; in numerical order, members with adjacent numbers would
     * send to the same receivers.
     */
    int nextGossipStart() {
        gossipCounter++;
        long fraction31Bits = (gossipCounter * GOLDEN_RATIO) >>> 33;
        return (int) ((fraction31Bits * remainingTransmits.length) >>> 31);
    }

    int remainingTransmits(int member) {
        return remainingTransmits[member];
    }

    /** Returns a number for the fingerprint of {@link Membership}. */
    long gossipCounter() {
        return gossipCounter;
    }
}
