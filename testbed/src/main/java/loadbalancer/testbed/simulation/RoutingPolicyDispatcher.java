package loadbalancer.testbed.simulation;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.routing.RoutingEngine;
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

/**
 * Runs the production routing policy as the only dispatcher of {@link JsqDasExperiment}, so the
 * requests that the policy has in flight at a server are the server's whole queue. Used only by the
 * thread that runs the simulation.
 */
final class RoutingPolicyDispatcher implements RoutingActions {
    private static final long FAR_FUTURE_MICROS = 3_600_000_000L;
    // The time of the policy's clock at time 0 of the experiment.
    private static final long POLICY_CLOCK_EPOCH_MICROS = (long) QueueingServers.MICROS_PER_SECOND;
    private static final long SEED = 1;
    private static final int UNKNOWN_WORK = -1;

    private final QueueingServers servers;
    private final VirtualTimeScheduler scheduler;
    private final RoutingPolicy policy;

    /** Thrown when the policy rejects or fails a job, which must not happen in the experiment. */
    static final class UnexpectedActionException extends IllegalStateException {
        private static final long serialVersionUID = 1L;

        UnexpectedActionException(String message) {
            super(message);
        }
    }

    /** Creates a dispatcher whose policy has all servers as endpoints. */
    RoutingPolicyDispatcher(QueueingServers servers, VirtualTimeScheduler scheduler) {
        this.servers = servers;
        this.scheduler = scheduler;
        this.policy = new RoutingEngine(settings(), SEED);
        policy.onEndpointList(policyNowMicros(), EndpointListKind.CACHED, endpoints(), this);
    }

    private static RoutingSettings settings() {
        return new RoutingSettings(
                1,
                0,
                0,
                List.of(requestClass()),
                List.of(),
                1,
                new ObjectiveWeights(1, 0, 0, 0),
                new RoutingCosts(0, 0),
                false,
                DiscoveryMode.PUSH,
                LoadReportSource.NONE,
                false,
                new RoutingLimits(
                        1, false, false, false, (long) QueueingServers.MICROS_PER_SECOND, 0),
                new RoutingBounds(20_000, 2_500_000, 0, 0.13, 0, 3, 3_000_000, 0),
                5_000);
    }

    private static RequestClass requestClass() {
        return new RequestClass(
                Idempotency.IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                FAR_FUTURE_MICROS,
                FAR_FUTURE_MICROS,
                0,
                1,
                0,
                false);
    }

    private List<Endpoint> endpoints() {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int server = 0; server < servers.count(); server++) {
            int machineKind = servers.isFast(server) ? 0 : 1;
            endpoints.add(
                    new Endpoint(
                            Integer.toString(server),
                            EndpointStatus.UP,
                            0,
                            1,
                            server,
                            machineKind,
                            0));
        }
        return endpoints;
    }

    private long policyNowMicros() {
        return scheduler.nowMicros() + POLICY_CLOCK_EPOCH_MICROS;
    }

    /** Submits a job to the policy, which sends it to a server immediately. */
    void dispatch(int job) {
        policy.onRequest(
                policyNowMicros(),
                Integer.toString(job),
                0,
                0,
                null,
                FAR_FUTURE_MICROS,
                UNKNOWN_WORK,
                false,
                this);
    }

    @Override
    public void send(String requestId, String endpointId, long timeoutMicros) {
        long sentAtMicros = scheduler.nowMicros();
        servers.enqueue(
                Integer.parseInt(endpointId),
                () ->
                        policy.onAttemptEnded(
                                policyNowMicros(),
                                requestId,
                                0,
                                AttemptOutcome.OK,
                                scheduler.nowMicros() - sentAtMicros,
                                true,
                                null,
                                this));
    }

    @Override
    public void reject(String requestId, long retryAfterMicros) {
        throw new UnexpectedActionException(
                "the policy rejected job " + requestId + ", which the experiment does not allow");
    }

    @Override
    public void fail(String requestId) {
        throw new UnexpectedActionException(
                "the policy failed job " + requestId + ", which the experiment does not allow");
    }

    @Override
    public void scheduleTimer(long delayMicros) {
        scheduler.scheduleAfter(
                Math.max(1, delayMicros), () -> policy.onTimer(policyNowMicros(), this));
    }

    // The other actions have no effect: attempts always succeed, the list of servers is fixed, and
    // there are no peers.

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
    public void log(String message) {}
}
