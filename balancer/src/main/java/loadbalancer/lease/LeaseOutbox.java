package loadbalancer.lease;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * Collects the actions of one member for its caller. Entries queued by several slots are batched:
 * in each round one datagram goes to each receiver for each kind of message, or more if the entries
 * don't fit in one. The outbox records when recent rounds were sent, because a grant counts from
 * when it was requested. Only the caller's event loop uses it.
 */
final class LeaseOutbox {
    // Number of recent rounds that are tracked; responses to older rounds are ignored.
    private static final int MAX_TRACKED_ROUNDS = 128;

    private final int self;
    private final int processId;
    private final LeaseTiming timing;
    // Queued entries by receiver and kind. Receivers and kinds are sent in the order in which their
    // first entry was queued.
    private final Map<Integer, Map<LeaseMessage.Kind, List<LeaseMessage.Entry>>> queuedEntries =
            new LinkedHashMap<>();
    private final List<LeaseManager.Action> actions = new ArrayList<>();
    private final Map<Integer, Long> sentAtMicrosByRound = new LinkedHashMap<>();
    private int lastSequenceNumber;

    LeaseOutbox(int self, int processId, LeaseTiming timing) {
        this.self = self;
        this.processId = processId;
        this.timing = timing;
    }

    /** Creates a copy. Has to be called between two events, when nothing is queued. */
    LeaseOutbox(LeaseOutbox other) {
        this(other.self, other.processId, other.timing);
        sentAtMicrosByRound.putAll(other.sentAtMicrosByRound);
        lastSequenceNumber = other.lastSequenceNumber;
    }

    /** Appends an action; the caller performs actions in the order in which they were added. */
    void add(LeaseManager.Action action) {
        actions.add(action);
    }

    /** Queues an entry for one member, which may be this one. */
    void enqueue(int to, LeaseMessage.Kind kind, LeaseMessage.Entry entry) {
        queuedEntries
                .computeIfAbsent(to, receiver -> new LinkedHashMap<>())
                .computeIfAbsent(kind, kindOfEntries -> new ArrayList<>())
                .add(entry);
    }

    /** Queues an entry for each of the given members. */
    void enqueueAll(int[] members, LeaseMessage.Kind kind, LeaseMessage.Entry entry) {
        for (int member : members) {
            enqueue(member, kind, entry);
        }
    }

    /**
     * Returns when the request that this response answers was sent, µs; empty if the response no
     * longer counts.
     */
    OptionalLong requestedAtMicros(LeaseMessage response) {
        if (response.processId() != processId) {
            return OptionalLong.empty();
        }
        Long sentAtMicros = sentAtMicrosByRound.get(response.sequenceNumber());
        return sentAtMicros == null ? OptionalLong.empty() : OptionalLong.of(sentAtMicros);
    }

    /**
     * Converts the queued entries to messages, round by round. Messages to this member itself go to
     * {@code loopback} immediately, which may queue more entries.
     */
    void flush(long nowMicros, Consumer<LeaseMessage> loopback) {
        while (!queuedEntries.isEmpty()) {
            Map<Integer, Map<LeaseMessage.Kind, List<LeaseMessage.Entry>>> round =
                    new LinkedHashMap<>(queuedEntries);
            queuedEntries.clear();
            int sequenceNumber = startRound(nowMicros);
            round.forEach(
                    (to, entriesByKind) ->
                            entriesByKind.forEach(
                                    (kind, entries) ->
                                            send(to, kind, sequenceNumber, entries, loopback)));
        }
    }

    private int startRound(long nowMicros) {
        int sequenceNumber = ++lastSequenceNumber;
        sentAtMicrosByRound.put(sequenceNumber, nowMicros);
        sentAtMicrosByRound
                .values()
                .removeIf(sentAtMicros -> nowMicros >= sentAtMicros + timing.usableMicros());
        if (sentAtMicrosByRound.size() > MAX_TRACKED_ROUNDS) {
            sentAtMicrosByRound.remove(sentAtMicrosByRound.keySet().iterator().next());
        }
        return sequenceNumber;
    }

    private void send(
            int to,
            LeaseMessage.Kind kind,
            int sequenceNumber,
            List<LeaseMessage.Entry> entries,
            Consumer<LeaseMessage> loopback) {
        for (int start = 0; start < entries.size(); start += LeaseMessage.MAX_ENTRIES) {
            int end = Math.min(entries.size(), start + LeaseMessage.MAX_ENTRIES);
            LeaseMessage message =
                    new LeaseMessage(kind, processId, sequenceNumber, entries.subList(start, end));
            if (to == self) {
                loopback.accept(message);
            } else {
                actions.add(new LeaseManager.Send(to, message));
            }
        }
    }

    /** Removes and returns the actions added since the last call, in order. */
    List<LeaseManager.Action> takeActions() {
        List<LeaseManager.Action> taken = List.copyOf(actions);
        actions.clear();
        return taken;
    }

    /**
     * Appends to a hash the rounds whose responses still count, with times relative to {@code
     * nowMicros}.
     */
    long appendFingerprint(long hash, long nowMicros) {
        for (Map.Entry<Integer, Long> round : sentAtMicrosByRound.entrySet()) {
            long remainingMicros = round.getValue() + timing.usableMicros() - nowMicros;
            hash = hash * 31 + round.getKey() * 7L + Math.max(0, remainingMicros);
        }
        return hash;
    }
}
