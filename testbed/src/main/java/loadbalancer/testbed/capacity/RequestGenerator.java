package loadbalancer.testbed.capacity;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.RoutingPolicy;

/**
 * Generates the requests of one hollow balancer. They arrive as a Poisson process, and each attempt
 * succeeds after a random time without queueing. The requests serve only to measure the rates that
 * routing policies report and the CPU time of their decisions. Confined to the thread of the host.
 */
final class RequestGenerator {
    private static final long REQUEST_TIMEOUT_MICROS = 1_500_000;
    private static final long MIN_SERVICE_MICROS = 10_000;
    private static final long MAX_SERVICE_MICROS = 30_000;

    private final RoutingPolicy routingPolicy;
    private final HollowBalancer balancer;
    private final BalancerHost host;
    private final int classCount;
    private final double requestsPerSecond;
    private final SplittableRandom random;
    // Requests by id, until they are closed and their attempts have ended
    private final Map<String, OpenRequest> openRequests = new HashMap<>();
    private long nextRequestNumber;
    private long nextArrivalMicros;

    /** Holds a request that has no final response, or has running attempts. */
    private static final class OpenRequest {
        private final Set<Integer> runningAttempts = new TreeSet<>();
        private int attemptCount;
        private boolean closed;
    }

    /** Creates a generator that is not started. */
    RequestGenerator(
            RoutingPolicy routingPolicy,
            HollowBalancer balancer,
            BalancerHost host,
            FleetSpec fleetSpec,
            int rank,
            SplittableRandom random) {
        this.routingPolicy = routingPolicy;
        this.balancer = balancer;
        this.host = host;
        this.classCount = fleetSpec.classes();
        this.requestsPerSecond = fleetSpec.requestsPerSecond(rank);
        this.random = random;
    }

    /** Generates requests from now on, until the balancer ends. */
    void start() {
        nextArrivalMicros = host.now();
        scheduleNextArrival();
    }

    // The next arrival is relative to the planned time of the last one, so that late timers do not
    // lower the rate.
    private void scheduleNextArrival() {
        nextArrivalMicros +=
                1 + (long) (-Math.log(1 - random.nextDouble()) / requestsPerSecond * 1e6);
        host.runAfter(
                Math.max(1, nextArrivalMicros - host.now()),
                () -> {
                    if (balancer.isRunning()) {
                        String requestId = "r" + nextRequestNumber++;
                        openRequests.put(requestId, new OpenRequest());
                        balancer.runRoutingWork(
                                () ->
                                        routingPolicy.onRequest(
                                                host.now(),
                                                requestId,
                                                random.nextInt(classCount),
                                                0,
                                                null,
                                                REQUEST_TIMEOUT_MICROS,
                                                -1,
                                                false,
                                                balancer));
                        scheduleNextArrival();
                    }
                });
    }

    /** Starts an attempt of a request. Called by the routing policy. */
    void startAttempt(String requestId) {
        OpenRequest openRequest = openRequests.get(requestId);
        if (openRequest == null) {
            return;
        }
        int attempt = openRequest.attemptCount++;
        openRequest.runningAttempts.add(attempt);
        long serviceMicros = random.nextLong(MIN_SERVICE_MICROS, MAX_SERVICE_MICROS);
        host.runAfter(
                serviceMicros,
                () -> endAttempt(requestId, attempt, AttemptOutcome.OK, serviceMicros));
    }

    private void endAttempt(
            String requestId, int attempt, AttemptOutcome outcome, long elapsedMicros) {
        OpenRequest openRequest = openRequests.get(requestId);
        if (openRequest == null || !openRequest.runningAttempts.remove(attempt)) {
            return;
        }
        if (outcome == AttemptOutcome.OK && !openRequest.closed) {
            openRequest.closed = true;
            balancer.countRequest(true);
        }
        boolean closed = openRequest.closed;
        removeIfComplete(requestId, openRequest);
        balancer.runRoutingWork(
                () ->
                        routingPolicy.onAttemptEnded(
                                host.now(),
                                requestId,
                                attempt,
                                outcome,
                                elapsedMicros,
                                closed,
                                null,
                                balancer));
    }

    /** Cancels an attempt. Called by the routing policy. */
    void cancelAttempt(String requestId, int attempt) {
        host.runAfter(1, () -> endAttempt(requestId, attempt, AttemptOutcome.CANCELLED, 1));
    }

    /** Closes a request without success. Called by the routing policy. */
    void rejectRequest(String requestId) {
        OpenRequest openRequest = openRequests.get(requestId);
        if (openRequest != null && !openRequest.closed) {
            openRequest.closed = true;
            balancer.countRequest(false);
            removeIfComplete(requestId, openRequest);
        }
    }

    private void removeIfComplete(String requestId, OpenRequest openRequest) {
        if (openRequest.closed && openRequest.runningAttempts.isEmpty()) {
            openRequests.remove(requestId);
        }
    }
}
