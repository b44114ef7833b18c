package loadbalancer.routing;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.DeduplicationScope;
import loadbalancer.routing.api.DiscoveryMode;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.EndpointStatus;
import loadbalancer.routing.api.Idempotency;
import loadbalancer.routing.api.LoadReportSource;
import loadbalancer.routing.api.ObjectiveWeights;
import loadbalancer.routing.api.RequestClass;
import loadbalancer.routing.api.RoutingActions;
import loadbalancer.routing.api.RoutingBounds;
import loadbalancer.routing.api.RoutingCosts;
import loadbalancer.routing.api.RoutingLimits;
import loadbalancer.routing.api.RoutingPolicy;
import loadbalancer.routing.api.RoutingSettings;

/** Shows how to embed the routing module. The README contains a part of this code. */
final class EmbeddingExample {
    private EmbeddingExample() {}

    static List<String> run() {
        List<String> sentRequests = new ArrayList<>();
        RequestClass readClass =
                new RequestClass(
                        Idempotency.IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0,
                        300_000,
                        1_000_000,
                        0,
                        1,
                        0,
                        false);
        RoutingSettings settings =
                new RoutingSettings(
                        2,
                        0,
                        0,
                        List.of(readClass),
                        List.of(),
                        1,
                        new ObjectiveWeights(1, 0, 0, 0),
                        new RoutingCosts(0, 0),
                        false,
                        DiscoveryMode.PUSH,
                        LoadReportSource.NONE,
                        false,
                        new RoutingLimits(3, true, true, false, 250_000, 0),
                        new RoutingBounds(
                                20_000, 1_000_000, 0, 0.2, 20_000_000, 2.5, 1_500_000, 100_000),
                        1_000);
        RoutingPolicy policy = new RoutingEngine(settings, 42);
        RoutingActions actions = new RecordingActions(sentRequests);

        long now = 0;
        policy.onEndpointList(
                now,
                EndpointListKind.CACHED,
                List.of(new Endpoint("a:80", EndpointStatus.UP, 0, 1, 0, 0, 0)),
                actions);
        // Asks for send("r1", "a:80", ..).
        policy.onRequest(now, "r1", 0, 0, null, 1_000_000, -1, false, actions);
        now = 40_000;
        policy.onAttemptEnded(now, "r1", 0, AttemptOutcome.OK, 40_000, true, null, actions);
        return sentRequests;
    }

    /** Receives the actions of the policy; this example only records sent requests. */
    private record RecordingActions(List<String> sentRequests) implements RoutingActions {
        @Override
        public void send(String requestId, String endpointId, long timeoutMicros) {
            sentRequests.add("send " + requestId + " to " + endpointId);
        }

        @Override
        public void reject(String requestId, long retryAfterMicros) {}

        @Override
        public void fail(String requestId) {}

        @Override
        public void cancel(String requestId, int attemptNumber) {}

        @Override
        public void checkHealth(String endpointId) {}

        @Override
        public void watchEndpoints(boolean enabled) {}

        @Override
        public void fetchEndpointList() {}

        @Override
        public void closeIdleConnections(String endpointId) {}

        @Override
        public void sendToPeer(int peer, byte[] payload) {}

        @Override
        public void scheduleTimer(long delayMicros) {}

        @Override
        public void log(String message) {}
    }
}
