package loadbalancer.testbed.simulation;

import java.util.List;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.LoadReport;
import loadbalancer.routing.api.RoutingActions;
import loadbalancer.routing.api.RoutingPolicy;

/** A routing policy that requests no actions. */
final class SilentPolicy implements RoutingPolicy {
    @Override
    public void onEndpointList(
            long now, EndpointListKind kind, List<Endpoint> endpoints, RoutingActions actions) {}

    @Override
    public void onRequest(
            long now,
            String requestId,
            int classIndex,
            int tenantIndex,
            String key,
            long remainingMicros,
            long workHint,
            boolean resubmission,
            RoutingActions actions) {}

    @Override
    public void onAttemptEnded(
            long now,
            String requestId,
            int attemptNumber,
            AttemptOutcome outcome,
            long latencyMicros,
            boolean closed,
            LoadReport load,
            RoutingActions actions) {}

    @Override
    public void onStreamStarted(
            long now, String requestId, int attemptNumber, RoutingActions actions) {}

    @Override
    public void onClientDisconnected(long now, String requestId, RoutingActions actions) {}

    @Override
    public void onHealthCheckResult(
            long now,
            String endpointId,
            AttemptOutcome outcome,
            long latencyMicros,
            LoadReport load,
            RoutingActions actions) {}

    @Override
    public void onTimer(long now, RoutingActions actions) {}
}
