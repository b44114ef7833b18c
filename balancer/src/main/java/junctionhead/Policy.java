package junctionhead;

import java.util.List;
import java.util.Set;

/**
 * The whole interface of the decision module: what one balancer tells it (the methods below) and
 * what it may ask for in return ({@link Actions}).
 *
 * <p>All times are microseconds in a {@code long}; {@code now} is the caller's clock and never goes
 * back. Ids are opaque. One object serves one balancer and is not thread-safe: events are handed
 * over one at a time, in the order in which they happened, and each returns before the next.
 * Actions are carried out in the order in which they are asked for, at the time {@code now}. A new
 * or restarted balancer is a new object, and its first event is {@link #servers} with {@link
 * ListKind#PERSISTED}. Events about requests, attempts or servers that the module no longer holds
 * are legal and passed over.
 */
public interface Policy {
    /** What a class of requests allows once an attempt may have run. */
    enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** The servers that drop a repeat of a keyed request. */
    enum Scope {
        ALL,
        ZONE,
        CELL
    }

    /** How the list of servers is learnt: changes come unasked, or only after watch or fetch. */
    enum Discovery {
        PUSH,
        ASK
    }

    /** When servers report their load. */
    enum Reports {
        ANSWERS,
        PROBE,
        NONE
    }

    /**
     * What a list holds: the one kept over a restart, the complete one, changes only or, failed,
     * nothing.
     */
    enum ListKind {
        PERSISTED,
        COMPLETE,
        PARTIAL,
        FAILED
    }

    /** A listed server runs, finishes its work without taking more, or has gone. */
    enum State {
        UP,
        DRAINING,
        GONE
    }

    /** How an attempt ended. */
    enum Outcome {
        OK(false),
        ERROR(false),
        FULL(true),
        TIMEOUT(false),
        CONNECT_FAILED(true),
        RESET(false),
        CANCELLED(false),
        NOT_SENT(true);

        private final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }

        /** True where the outcome proves that the attempt did not run. */
        public boolean neverRan() {
            return neverRan;
        }
    }

    /**
     * One entry of the list. {@code startedAt} is 0 where the last start is long past; {@code
     * weight} compares servers only; {@code cell}, {@code kind} and {@code zone} are numbers, or
     * -1.
     */
    record Server(
            String id, State state, long startedAt, double weight, int cell, int kind, int zone) {
        /** The same server in another state. */
        public Server in(State other) {
            return new Server(id, other, startedAt, weight, cell, kind, zone);
        }
    }

    /**
     * A class of requests: an answer within {@code aim} earns {@code worth}, one before {@code
     * deadline} the {@code lateShare} of it. {@code aimStretch} lengthens the aim by that multiple
     * of the request's work. {@code inOrder}: requests with one key run one at a time, in the order
     * taken. {@code zones} and {@code machineKinds} are the only ones whose servers may be sent to;
     * empty: all.
     */
    record RequestClass(
            Effect effect,
            Scope scope,
            long keyMemory,
            long aim,
            long deadline,
            double aimStretch,
            double worth,
            double lateShare,
            boolean streamed,
            boolean inOrder,
            Set<Integer> zones,
            Set<Integer> machineKinds) {
        public RequestClass {
            zones = Set.copyOf(zones);
            machineKinds = Set.copyOf(machineKinds);
            SettingsValidation.require(aim > 0, "aim", aim);
            SettingsValidation.require(deadline > 0, "deadline", deadline);
            SettingsValidation.require(keyMemory >= 0, "keyMemory", keyMemory);
            SettingsValidation.require(aimStretch >= 0, "aimStretch", aimStretch);
        }

        /** Rule 6: a class may be bound to zones and kinds of machine, at every attempt. */
        boolean permits(Server s) {
            return (zones.isEmpty() || zones.contains(s.zone()))
                    && (machineKinds.isEmpty() || machineKinds.contains(s.kind()));
        }

        /** A class without order or placement. */
        public RequestClass(
                Effect effect,
                Scope scope,
                long keyMemory,
                long aim,
                long deadline,
                double aimStretch,
                double worth,
                double lateShare,
                boolean streamed) {
            this(
                    effect,
                    scope,
                    keyMemory,
                    aim,
                    deadline,
                    aimStretch,
                    worth,
                    lateShare,
                    streamed,
                    false,
                    Set.of(),
                    Set.of());
        }
    }

    /** A tenant: requests per second within its share, over all balancers. */
    record Tenant(double allowancePerSecond) {
        public Tenant {
            SettingsValidation.require(
                    allowancePerSecond >= 0, "allowancePerSecond", allowancePerSecond);
        }
    }

    /** How much the worst-served class and the worst-served tenant count, beside the whole. */
    record Goal(double whole, double worstWindow, double worstClass, double worstTenant) {}

    /**
     * Points of the goal for each crossing of zones, for each new connection and for each 256 bytes
     * that balancers hear of one another, per first try; 0: free.
     */
    record Prices(double crossZone, double handshake, double peer) {
        public Prices {
            SettingsValidation.require(crossZone >= 0, "crossZone", crossZone);
            SettingsValidation.require(handshake >= 0, "handshake", handshake);
            SettingsValidation.require(peer >= 0, "peer", peer);
        }

        /** Prices where messages between balancers are free. */
        public Prices(double crossZone, double handshake) {
            this(crossZone, handshake, 0);
        }
    }

    /** What the site allows. {@code retryAfterMax} is 0 where clients get no such advice. */
    record Limits(
            int maxAttempts,
            boolean mayDuplicate,
            boolean mayCancel,
            boolean mayProbe,
            long connectTimeout,
            long retryAfterMax,
            boolean mayTell) {
        public Limits {
            SettingsValidation.require(maxAttempts > 0, "maxAttempts", maxAttempts);
        }

        /** Limits where balancers may not send one another messages. */
        public Limits(
                int maxAttempts,
                boolean mayDuplicate,
                boolean mayCancel,
                boolean mayProbe,
                long connectTimeout,
                long retryAfterMax) {
            this(
                    maxAttempts,
                    mayDuplicate,
                    mayCancel,
                    mayProbe,
                    connectTimeout,
                    retryAfterMax,
                    false);
        }
    }

    /**
     * The figures of the rules; {@code orderPause}: a key's rest after an attempt that may still
     * run.
     */
    record Bounds(
            long answerSlack,
            long drainGrace,
            long askWithin,
            double coldFrom,
            long rampTime,
            double overloadFactor,
            long fallWindow,
            long orderPause) {
        public Bounds {
            SettingsValidation.require(orderPause >= 0, "orderPause", orderPause);
            SettingsValidation.require(coldFrom > 0 && coldFrom <= 1, "coldFrom", coldFrom);
            SettingsValidation.require(rampTime >= 0, "rampTime", rampTime);
            SettingsValidation.require(overloadFactor > 0, "overloadFactor", overloadFactor);
            SettingsValidation.require(fallWindow >= 0, "fallWindow", fallWindow);
        }
    }

    /**
     * All that a balancer is told at its start. {@code rank} is its number among all, from 0;
     * {@code warmKeys}: a server needs less work for a key that it served lately; {@code tick} is
     * the shortest step of the clock.
     */
    record Settings(
            int balancers,
            int rank,
            int zone,
            List<RequestClass> classes,
            List<Tenant> tenants,
            double overShareWorth,
            Goal goal,
            Prices prices,
            boolean worthByWork,
            Discovery discovery,
            Reports reports,
            boolean warmKeys,
            Limits limits,
            Bounds bounds,
            long tick) {
        public Settings {
            classes = List.copyOf(classes);
            tenants = List.copyOf(tenants);
            SettingsValidation.require(balancers > 0, "balancers", balancers);
            SettingsValidation.require(rank >= 0 && rank < balancers, "rank", rank);
            SettingsValidation.require(!classes.isEmpty(), "classes", "none");
            SettingsValidation.require(tick > 0, "tick", tick);
        }
    }

    /**
     * A server's own report; a figure that it doesn't carry is NaN. {@code recentLatency} is in µs.
     */
    record Load(
            double inFlight,
            double queued,
            double utilization,
            double recentLatency,
            double throughput,
            double errorsPerSecond) {}

    /** News of the list of servers; {@code servers} is empty for {@link ListKind#FAILED}. */
    void servers(long now, ListKind kind, List<Server> servers, Actions out);

    /**
     * A request has come in and is owed one final answer before {@code timeLeft} is over.
     *
     * @param tenant 0 where there are none
     * @param key what the request concerns, or null
     * @param work the client's guess of the work, or -1
     * @param resubmission the client says that it has tried before
     */
    void request(
            long now,
            String request,
            int requestClass,
            int tenant,
            String key,
            long timeLeft,
            long work,
            boolean resubmission,
            Actions out);

    /**
     * An attempt has ended; each attempt that was sent ends once.
     *
     * @param attempt the request's attempts are numbered 0, 1, 2 ... in the order of their sends
     * @param closed the request has had its final answer (an OK is passed to the client by the
     *     caller)
     * @param load null where no report came with it
     */
    void outcome(
            long now,
            String request,
            int attempt,
            Outcome outcome,
            long latency,
            boolean closed,
            Load load,
            Actions out);

    /**
     * Whether an attempt that had to wait for a connection may still be sent, asked right before
     * its first byte: meanwhile its request may have ended, its server have left or come anew, its
     * key's window have passed. Where not it ends as {@link Outcome#NOT_SENT}.
     */
    default boolean mayBegin(long now, String request, int attempt) {
        return true;
    }

    /** The request that has just been handed over is still coming in: its time has not begun. */
    default void uploading(long now, String request) {}

    /**
     * All of such a request has come: {@code timeLeft}, and that of its attempt, count from here
     * on.
     */
    default void uploaded(long now, String request, long timeLeft, Actions out) {}

    /**
     * The server broke off an answer after its {@link Outcome#OK}, when its client had got a part
     * of it.
     */
    default void brokeOff(long now, String server, Actions out) {}

    /**
     * A streamed answer has begun: the attempt belongs to the client, its time-outs no longer hold.
     */
    void streamStarted(long now, String request, int attempt, Actions out);

    /** The client has left: nothing more is owed. */
    void clientGone(long now, String request, Actions out);

    /** A probe has come back. */
    default void probed(
            long now, String server, Outcome outcome, long latency, Load load, Actions out) {}

    /** The time asked for with {@link Actions#wake} has come. */
    void wake(long now, Actions out);

    /**
     * How many of the listed servers get nothing now as they have failed; short rests don't count.
     */
    default int avoided(long now) {
        return 0;
    }

    /** What is worth keeping over a crash, as of now; null: nothing. */
    default Kept keep(long now) {
        return null;
    }

    /** What was kept {@code age} µs ago; after the first list, before the first request. */
    default void recall(long now, Kept kept, long age) {}

    /** Requests a second that other balancers get, as they told of late; 0 where none is heard. */
    default double othersRate() {
        return 0;
    }

    /**
     * A message from the balancer of that number, late or not at all; the module keeps {@code
     * data}.
     */
    default void peerMessage(long now, int from, byte[] data, Actions out) {}

    /** What the module may ask for: a sink that the caller implements. */
    interface Actions {
        /** Send an attempt; {@code timeout} 0 means until the request's deadline. */
        void send(String request, String server, long timeout);

        /**
         * Final answer: refused, trying again is harmless; {@code retryAfter} 0 gives no advice.
         */
        void refuse(String request, long retryAfter);

        /** Final answer: failed, nothing promised. */
        void fail(String request);

        /** Stop waiting for an attempt. */
        void cancel(String request, int attempt);

        /** Ask a server how it is. */
        void probe(String server);

        /** Subscribe to changes of the list from here on, or end the subscription. */
        void watch(boolean on);

        /** Ask for the complete list once. */
        void fetchList();

        /** Close the idle connections to a server. */
        void closeIdle(String server);

        /**
         * Send at most 256 bytes to the balancer of that number, or to all where {@code peer} is
         * -1.
         */
        void tell(int peer, byte[] data);

        /** Call {@link Policy#wake} once after {@code delay}. */
        void wakeAfter(long delay);

        /** A line for the operators. */
        void remark(String line);
    }
}
