package junctionhead;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Each message of the simulator's wire, byte for byte, with the extremes of its fields: a policy
 * that writes down what it is told gives the values of the input, and one wake-up makes it ask for
 * each action.
 */
class GoldenSimulatorMessagesTest {
    private static final long NOW = 1_000_000;
    private static final String ENDPOINT = "10.0.0.1:80";

    private final RecordingPolicy policy = new RecordingPolicy();
    private final List<Policy.Settings> settings = new ArrayList<>();
    private final List<Long> seeds = new ArrayList<>();
    private String output;

    /** One call of the policy. */
    private sealed interface Call {}

    private record EndpointList(long now, Policy.ListKind kind, List<Policy.Server> endpoints)
            implements Call {}

    private record Request(
            long now,
            String id,
            int requestClass,
            int tenant,
            String key,
            long timeLeft,
            long work,
            boolean resubmission)
            implements Call {}

    private record AttemptEnd(
            long now,
            String request,
            int attempt,
            Policy.Outcome outcome,
            long latency,
            boolean closed,
            Policy.Load load)
            implements Call {}

    private record StreamStart(long now, String request, int attempt) implements Call {}

    private record ClientDisconnect(long now, String request) implements Call {}

    private record HealthCheckEnd(
            long now, String endpoint, Policy.Outcome outcome, long latency, Policy.Load load)
            implements Call {}

    private record Gossip(long now, int from, List<Byte> data) implements Call {}

    private record WakeUp(long now) implements Call {}

    /** Writes calls down; on a wake-up it asks for each action. */
    private static final class RecordingPolicy implements Policy {
        private final List<Call> calls = new ArrayList<>();

        @Override
        public void servers(long now, ListKind kind, List<Server> servers, Actions out) {
            calls.add(new EndpointList(now, kind, servers));
        }

        @Override
        public void request(
                long now,
                String request,
                int requestClass,
                int tenant,
                String key,
                long timeLeft,
                long work,
                boolean resubmission,
                Actions out) {
            calls.add(
                    new Request(
                            now, request, requestClass, tenant, key, timeLeft, work, resubmission));
        }

        @Override
        public void outcome(
                long now,
                String request,
                int attempt,
                Outcome outcome,
                long latency,
                boolean closed,
                Load load,
                Actions out) {
            calls.add(new AttemptEnd(now, request, attempt, outcome, latency, closed, load));
        }

        @Override
        public void streamStarted(long now, String request, int attempt, Actions out) {
            calls.add(new StreamStart(now, request, attempt));
        }

        @Override
        public void clientGone(long now, String request, Actions out) {
            calls.add(new ClientDisconnect(now, request));
        }

        @Override
        public void probed(
                long now, String server, Outcome outcome, long latency, Load load, Actions out) {
            calls.add(new HealthCheckEnd(now, server, outcome, latency, load));
        }

        @Override
        public void peerMessage(long now, int from, byte[] data, Actions out) {
            List<Byte> bytes = new ArrayList<>();
            for (byte each : data) {
                bytes.add(each);
            }
            calls.add(new Gossip(now, from, bytes));
        }

        @Override
        public void wake(long now, Actions out) {
            calls.add(new WakeUp(now));
            out.send("request-1", ENDPOINT, 0);
            out.send("request-1", ENDPOINT, Long.MAX_VALUE);
            out.refuse("request-1", 0);
            out.refuse("request-1", Long.MAX_VALUE);
            out.fail("request-1");
            out.cancel("request-1", 0);
            out.cancel("request-1", Integer.MAX_VALUE);
            out.probe(ENDPOINT);
            out.watch(true);
            out.watch(false);
            out.fetchList();
            out.closeIdle(ENDPOINT);
            out.tell(-1, new byte[0]);
            out.tell(0, new byte[] {0, -1, 127, -128});
            out.tell(Integer.MAX_VALUE, new byte[256]);
            out.wakeAfter(0);
            out.wakeAfter(Long.MAX_VALUE);
            out.remark("a\ttab, a\rreturn, a\nnew line");
        }
    }

    @BeforeEach
    void run() throws IOException {
        Adapter.Factory factory =
                (given, seed) -> {
                    settings.add(given);
                    seeds.add(seed);
                    return policy;
                };
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        BufferedReader in =
                new BufferedReader(
                        new StringReader(GoldenFiles.text("simulator-wire/messages-in.tsv")));
        new Adapter(factory, in, out).run();
        output = out.toString(StandardCharsets.UTF_8);
    }

    private static Policy.Settings greatestSettings() {
        Policy.RequestClass keyed =
                new Policy.RequestClass(
                        Policy.Effect.KEYED,
                        Policy.Scope.CELL,
                        2_000_000,
                        300_000,
                        900_000,
                        0.5,
                        4.5,
                        0.3,
                        true,
                        true,
                        Set.of(0, 1),
                        Set.of(1));
        return new Policy.Settings(
                3,
                2,
                1,
                List.of(keyed, plainClass(Policy.Effect.UNSAFE)),
                List.of(new Policy.Tenant(40.5), new Policy.Tenant(0)),
                0.1,
                new Policy.Goal(0.4, 0.3, 0.2, 0.1),
                new Policy.Prices(0.001, 0.0001, 0.00001),
                true,
                Policy.Discovery.ASK,
                Policy.Reports.PROBE,
                true,
                new Policy.Limits(Integer.MAX_VALUE, true, true, true, 250_000, 2_000_000, true),
                new Policy.Bounds(
                        20_000, 1_000_000, 10_000_000, 0.2, 20_000_000, 2.5, 1_500_000, 100_000),
                5_000);
    }

    private static Policy.Settings leastSettings() {
        return new Policy.Settings(
                1,
                0,
                0,
                List.of(plainClass(Policy.Effect.SAFE)),
                List.of(),
                1,
                new Policy.Goal(1, 0, 0, 0),
                new Policy.Prices(0, 0, 0),
                false,
                Policy.Discovery.PUSH,
                Policy.Reports.NONE,
                false,
                new Policy.Limits(1, false, false, false, 0, 0, false),
                new Policy.Bounds(0, 0, 0, 1, 0, 1, 0, 0),
                1);
    }

    private static Policy.RequestClass plainClass(Policy.Effect effect) {
        return new Policy.RequestClass(effect, Policy.Scope.ALL, 0, 1, 1, 0, 1, 0, false);
    }

    private static List<Policy.Server> endpoints() {
        return List.of(
                new Policy.Server(ENDPOINT, Policy.State.UP, 0, 1, -1, -1, -1),
                new Policy.Server(
                        "10.0.0.2:80", Policy.State.DRAINING, Long.MAX_VALUE, 1.5, 0, 0, 0),
                new Policy.Server(
                        "10.0.0.3:80",
                        Policy.State.GONE,
                        1,
                        1e-3,
                        2_147_483_646,
                        2_147_483_646,
                        2_147_483_646));
    }

    private static List<Call> endpointLists() {
        return List.of(
                new EndpointList(NOW, Policy.ListKind.PERSISTED, endpoints()),
                new EndpointList(NOW, Policy.ListKind.COMPLETE, List.of()),
                new EndpointList(NOW, Policy.ListKind.PARTIAL, endpoints()),
                new EndpointList(NOW, Policy.ListKind.FAILED, List.of()));
    }

    private static List<Call> requests() {
        return List.of(
                new Request(NOW, "request-1", 0, 0, null, 0, -1, false),
                new Request(NOW, "request-2", 1, 1, "key", Long.MAX_VALUE, Long.MAX_VALUE, true),
                new Request(NOW, "request-3", 1, 0, null, 600_000, -1, true),
                new Request(NOW, "request-4", 0, 1, "k", 1, 7, false));
    }

    private static Call attemptEnd(int attempt, Policy.Outcome outcome) {
        return new AttemptEnd(NOW, "request-1", attempt, outcome, 100, false, null);
    }

    private static Policy.Load load(
            double inFlight,
            double queued,
            double utilization,
            double latency,
            double throughput,
            double errors) {
        return new Policy.Load(inFlight, queued, utilization, latency, throughput, errors);
    }

    private static List<Call> attempts() {
        return List.of(
                new AttemptEnd(
                        NOW,
                        "request-1",
                        0,
                        Policy.Outcome.OK,
                        0,
                        true,
                        load(7, 2, 0.25, 12_500, 99.5, 0.125)),
                new AttemptEnd(
                        NOW,
                        "request-1",
                        2_147_483_646,
                        Policy.Outcome.ERROR,
                        Long.MAX_VALUE,
                        false,
                        load(
                                Double.NaN,
                                Double.NaN,
                                Double.NaN,
                                Double.NaN,
                                Double.NaN,
                                Double.NaN)),
                attemptEnd(1, Policy.Outcome.FULL),
                attemptEnd(2, Policy.Outcome.TIMEOUT),
                attemptEnd(3, Policy.Outcome.CONNECT_FAILED),
                attemptEnd(4, Policy.Outcome.RESET),
                attemptEnd(5, Policy.Outcome.CANCELLED),
                attemptEnd(6, Policy.Outcome.NOT_SENT),
                new StreamStart(NOW, "request-2", 3),
                new ClientDisconnect(NOW, "request-2"),
                new HealthCheckEnd(
                        NOW, ENDPOINT, Policy.Outcome.OK, 9_000, load(1, 2, 3, 4_000, 5, 6)),
                new HealthCheckEnd(NOW, ENDPOINT, Policy.Outcome.TIMEOUT, 0, null));
    }

    private static List<Call> gossipAndTime() {
        return List.of(
                new Gossip(NOW, 0, List.of()),
                new Gossip(
                        NOW, 2_147_483_646, List.of((byte) 0, (byte) -1, (byte) 127, (byte) -128)),
                new WakeUp(NOW),
                new WakeUp(Long.MAX_VALUE));
    }

    @Test
    void framesInGiveCalls() {
        List<Call> expected = new ArrayList<>(endpointLists());
        expected.addAll(requests());
        expected.addAll(attempts());
        expected.addAll(gossipAndTime());
        assertEquals(expected, policy.calls);
    }

    @Test
    void framesInGiveSettings() {
        assertEquals(List.of(greatestSettings(), leastSettings()), settings);
        assertEquals(List.of(Long.MAX_VALUE, Long.MIN_VALUE), seeds);
    }

    @Test
    void namesOfStartFrameAreRead() {
        String start =
                GoldenFiles.text("simulator-wire/messages-in.tsv")
                        .lines()
                        .filter(line -> line.startsWith("ENLIST\t"))
                        .findFirst()
                        .orElseThrow();
        assertEquals(
                new SettingsReader.Boot(
                        greatestSettings(),
                        List.of(
                                "throughput",
                                "outstanding",
                                "other",
                                "backlog",
                                "errors_per_s",
                                "utilization",
                                "recent_ms"),
                        List.of("order", "browse"),
                        List.of("gold", "free"),
                        List.of("north", "south"),
                        List.of("small", "large"),
                        60_000_000),
                WireSettings.read(new Frame(1, start), 2));
    }

    @Test
    void actionsGiveFramesOut() {
        assertEquals(GoldenFiles.text("simulator-wire/messages-out.tsv"), output);
    }
}
