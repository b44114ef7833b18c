package loadbalancer.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import loadbalancer.GoldenFiles;
import loadbalancer.config.BootSettings;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.DeduplicationScope;
import loadbalancer.routing.api.DiscoveryMode;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.EndpointStatus;
import loadbalancer.routing.api.Idempotency;
import loadbalancer.routing.api.LoadReport;
import loadbalancer.routing.api.LoadReportSource;
import loadbalancer.routing.api.ObjectiveWeights;
import loadbalancer.routing.api.RequestClass;
import loadbalancer.routing.api.RoutingActions;
import loadbalancer.routing.api.RoutingBounds;
import loadbalancer.routing.api.RoutingCosts;
import loadbalancer.routing.api.RoutingLimits;
import loadbalancer.routing.api.RoutingPolicy;
import loadbalancer.routing.api.RoutingSettings;
import loadbalancer.routing.api.Tenant;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Compares each message of the simulator's wire protocol with golden files byte for byte, with
 * extreme values of its fields. A recording policy collects the decoded events of the input, and on
 * a timer event it requests each action.
 */
class GoldenSimulatorMessagesTest {
    private static final long NOW = 1_000_000;
    private static final String ENDPOINT = "10.0.0.1:80";

    private final RecordingPolicy policy = new RecordingPolicy();
    private final List<RoutingSettings> settings = new ArrayList<>();
    private final List<Long> seeds = new ArrayList<>();
    private String output;

    /** A call that the policy received. */
    private sealed interface Call {}

    private record EndpointList(long now, EndpointListKind kind, List<Endpoint> endpoints)
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
            AttemptOutcome outcome,
            long latency,
            boolean closed,
            LoadReport load)
            implements Call {}

    private record StreamStart(long now, String request, int attempt) implements Call {}

    private record ClientDisconnect(long now, String request) implements Call {}

    private record HealthCheckEnd(
            long now, String endpoint, AttemptOutcome outcome, long latency, LoadReport load)
            implements Call {}

    private record PeerMessage(long now, int from, List<Byte> data) implements Call {}

    private record TimerEvent(long now) implements Call {}

    /** Records the events that it receives, and requests each action on a timer event. */
    private static final class RecordingPolicy implements RoutingPolicy {
        private final List<Call> calls = new ArrayList<>();

        @Override
        public void onEndpointList(
                long now, EndpointListKind kind, List<Endpoint> endpoints, RoutingActions actions) {
            calls.add(new EndpointList(now, kind, endpoints));
        }

        @Override
        public void onRequest(
                long now,
                String request,
                int requestClass,
                int tenant,
                String key,
                long timeLeft,
                long work,
                boolean resubmission,
                RoutingActions actions) {
            calls.add(
                    new Request(
                            now, request, requestClass, tenant, key, timeLeft, work, resubmission));
        }

        @Override
        public void onAttemptEnded(
                long now,
                String request,
                int attempt,
                AttemptOutcome outcome,
                long latency,
                boolean closed,
                LoadReport load,
                RoutingActions actions) {
            calls.add(new AttemptEnd(now, request, attempt, outcome, latency, closed, load));
        }

        @Override
        public void onStreamStarted(long now, String request, int attempt, RoutingActions actions) {
            calls.add(new StreamStart(now, request, attempt));
        }

        @Override
        public void onClientDisconnected(long now, String request, RoutingActions actions) {
            calls.add(new ClientDisconnect(now, request));
        }

        @Override
        public void onHealthCheckResult(
                long now,
                String server,
                AttemptOutcome outcome,
                long latency,
                LoadReport load,
                RoutingActions actions) {
            calls.add(new HealthCheckEnd(now, server, outcome, latency, load));
        }

        @Override
        public void onPeerMessage(long now, int from, byte[] data, RoutingActions actions) {
            List<Byte> bytes = new ArrayList<>();
            for (byte value : data) {
                bytes.add(value);
            }
            calls.add(new PeerMessage(now, from, bytes));
        }

        @Override
        public void onTimer(long now, RoutingActions actions) {
            calls.add(new TimerEvent(now));
            actions.send("request-1", ENDPOINT, 0);
            actions.send("request-1", ENDPOINT, Long.MAX_VALUE);
            actions.reject("request-1", 0);
            actions.reject("request-1", Long.MAX_VALUE);
            actions.fail("request-1");
            actions.cancel("request-1", 0);
            actions.cancel("request-1", Integer.MAX_VALUE);
            actions.checkHealth(ENDPOINT);
            actions.watchEndpoints(true);
            actions.watchEndpoints(false);
            actions.fetchEndpointList();
            actions.closeIdleConnections(ENDPOINT);
            actions.sendToPeer(-1, new byte[0]);
            actions.sendToPeer(0, new byte[] {0, -1, 127, -128});
            actions.sendToPeer(Integer.MAX_VALUE, new byte[256]);
            actions.scheduleTimer(0);
            actions.scheduleTimer(Long.MAX_VALUE);
            actions.log("a\ttab, a\rreturn, a\nnew line");
        }
    }

    @BeforeEach
    void run() throws IOException {
        SimulatorAdapter.PolicyFactory factory =
                (policySettings, seed) -> {
                    settings.add(policySettings);
                    seeds.add(seed);
                    return policy;
                };
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        BufferedReader in =
                new BufferedReader(
                        new StringReader(GoldenFiles.text("simulator-wire/messages-in.tsv")));
        new SimulatorAdapter(factory, in, out).run();
        output = out.toString(StandardCharsets.UTF_8);
    }

    private static RoutingSettings maximumSettings() {
        RequestClass keyed =
                new RequestClass(
                        Idempotency.IDEMPOTENCY_KEY,
                        DeduplicationScope.CELL,
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
        return new RoutingSettings(
                3,
                2,
                1,
                List.of(keyed, plainClass(Idempotency.NON_IDEMPOTENT)),
                List.of(new Tenant(40.5), new Tenant(0)),
                0.1,
                new ObjectiveWeights(0.4, 0.3, 0.2, 0.1),
                new RoutingCosts(0.001, 0.0001, 0.00001),
                true,
                DiscoveryMode.POLL,
                LoadReportSource.HEALTH_CHECKS,
                true,
                new RoutingLimits(Integer.MAX_VALUE, true, true, true, 250_000, 2_000_000, true),
                new RoutingBounds(
                        20_000, 1_000_000, 10_000_000, 0.2, 20_000_000, 2.5, 1_500_000, 100_000),
                5_000);
    }

    private static RoutingSettings minimumSettings() {
        return new RoutingSettings(
                1,
                0,
                0,
                List.of(plainClass(Idempotency.IDEMPOTENT)),
                List.of(),
                1,
                new ObjectiveWeights(1, 0, 0, 0),
                new RoutingCosts(0, 0, 0),
                false,
                DiscoveryMode.PUSH,
                LoadReportSource.NONE,
                false,
                new RoutingLimits(1, false, false, false, 0, 0, false),
                new RoutingBounds(0, 0, 0, 1, 0, 1, 0, 0),
                1);
    }

    private static RequestClass plainClass(Idempotency idempotency) {
        return new RequestClass(idempotency, DeduplicationScope.ALL, 0, 1, 1, 0, 1, 0, false);
    }

    private static List<Endpoint> endpoints() {
        return List.of(
                new Endpoint(ENDPOINT, EndpointStatus.UP, 0, 1, -1, -1, -1),
                new Endpoint("10.0.0.2:80", EndpointStatus.DRAINING, Long.MAX_VALUE, 1.5, 0, 0, 0),
                new Endpoint(
                        "10.0.0.3:80",
                        EndpointStatus.REMOVED,
                        1,
                        1e-3,
                        2_147_483_646,
                        2_147_483_646,
                        2_147_483_646));
    }

    private static List<Call> endpointLists() {
        return List.of(
                new EndpointList(NOW, EndpointListKind.CACHED, endpoints()),
                new EndpointList(NOW, EndpointListKind.COMPLETE, List.of()),
                new EndpointList(NOW, EndpointListKind.DELTA, endpoints()),
                new EndpointList(NOW, EndpointListKind.FAILED, List.of()));
    }

    private static List<Call> requests() {
        return List.of(
                new Request(NOW, "request-1", 0, 0, null, 0, -1, false),
                new Request(NOW, "request-2", 1, 1, "key", Long.MAX_VALUE, Long.MAX_VALUE, true),
                new Request(NOW, "request-3", 1, 0, null, 600_000, -1, true),
                new Request(NOW, "request-4", 0, 1, "k", 1, 7, false));
    }

    private static Call attemptEnd(int attempt, AttemptOutcome outcome) {
        return new AttemptEnd(NOW, "request-1", attempt, outcome, 100, false, null);
    }

    private static LoadReport load(
            double inFlight,
            double queued,
            double utilization,
            double latency,
            double throughput,
            double errors) {
        return new LoadReport(inFlight, queued, utilization, latency, throughput, errors);
    }

    private static List<Call> attemptEvents() {
        return List.of(
                new AttemptEnd(
                        NOW,
                        "request-1",
                        0,
                        AttemptOutcome.OK,
                        0,
                        true,
                        load(7, 2, 0.25, 12_500, 99.5, 0.125)),
                new AttemptEnd(
                        NOW,
                        "request-1",
                        2_147_483_646,
                        AttemptOutcome.ERROR,
                        Long.MAX_VALUE,
                        false,
                        load(
                                Double.NaN,
                                Double.NaN,
                                Double.NaN,
                                Double.NaN,
                                Double.NaN,
                                Double.NaN)),
                attemptEnd(1, AttemptOutcome.REJECTED),
                attemptEnd(2, AttemptOutcome.TIMEOUT),
                attemptEnd(3, AttemptOutcome.CONNECT_FAILED),
                attemptEnd(4, AttemptOutcome.RESET),
                attemptEnd(5, AttemptOutcome.CANCELLED),
                attemptEnd(6, AttemptOutcome.NOT_SENT),
                new StreamStart(NOW, "request-2", 3),
                new ClientDisconnect(NOW, "request-2"),
                new HealthCheckEnd(
                        NOW, ENDPOINT, AttemptOutcome.OK, 9_000, load(1, 2, 3, 4_000, 5, 6)),
                new HealthCheckEnd(NOW, ENDPOINT, AttemptOutcome.TIMEOUT, 0, null));
    }

    private static List<Call> peerMessagesAndTimers() {
        return List.of(
                new PeerMessage(NOW, 0, List.of()),
                new PeerMessage(
                        NOW, 2_147_483_646, List.of((byte) 0, (byte) -1, (byte) 127, (byte) -128)),
                new TimerEvent(NOW),
                new TimerEvent(Long.MAX_VALUE));
    }

    @Test
    void inputFramesAreDecodedToCalls() {
        List<Call> expected = new ArrayList<>(endpointLists());
        expected.addAll(requests());
        expected.addAll(attemptEvents());
        expected.addAll(peerMessagesAndTimers());
        assertEquals(expected, policy.calls);
    }

    @Test
    void inputFramesAreDecodedToSettings() {
        assertEquals(List.of(maximumSettings(), minimumSettings()), settings);
        assertEquals(List.of(Long.MAX_VALUE, Long.MIN_VALUE), seeds);
    }

    @Test
    void namesInEnlistFrameAreRead() {
        String enlistFrame =
                GoldenFiles.text("simulator-wire/messages-in.tsv")
                        .lines()
                        .filter(line -> line.startsWith("ENLIST\t"))
                        .findFirst()
                        .orElseThrow();
        assertEquals(
                new BootSettings(
                        maximumSettings(),
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
                WireSettingsParser.read(new WireFrame(1, enlistFrame), 2));
    }

    @Test
    void actionsAreEncodedAsOutputFrames() {
        assertEquals(GoldenFiles.text("simulator-wire/messages-out.tsv"), output);
    }
}
