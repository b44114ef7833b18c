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
 * succeeds after a random time without queueing: requests are generated only for the rates that
 * policies report and for the CPU of their decisions. Confined to the thread of the host.
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
    // Requests without a final response, or with attempts that have not ended
    private final Map<String, OpenRequest> openRequests = new HashMap<>();
    private long nextRequestNumber;
    private long nextArrivalMicros;

    /** A request without a final response, or with running attempts. */
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

    /** Starts to generate requests, until the balancer ends. */
    void start() {
        nextArrivalMicros = host.now();
        scheduleNextArrival();
    }

    // Relative to the planned time of the last arrival, so that late timers do not lower the rate.
    private void scheduleNextArrival() {
        nextArrivalMicros +=
                1 + (long) (-Math.log(1 - random.nextDouble()) / requestsPerSecond * 1e6);
        host.after(
                Math.max(1, nextArrivalMicros - host.now()),
                () -> {
                    if (balancer.isRunning()) {
                        String requestId = "r" + nextRequestNumber++;
                        openRequests.put(requestId, new OpenRequest());
                        balancer.runRouting(
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

    /** Starts an attempt, as the routing policy demands. */
    void startAttempt(String requestId) {
        OpenRequest openRequest = openRequests.get(requestId);
        if (openRequest == null) {
            return;
        }
        int attempt = openRequest.attemptCount++;
        openRequest.runningAttempts.add(attempt);
        long serviceMicros = random.nextLong(MIN_SERVICE_MICROS, MAX_SERVICE_MICROS);
        host.after(
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
        removeIfDone(requestId, openRequest);
        balancer.runRouting(
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

    /** Cancels an attempt, as the routing policy demands. */
    void cancelAttempt(String requestId, int attempt) {
        host.after(1, () -> endAttempt(requestId, attempt, AttemptOutcome.CANCELLED, 1));
    }

    /** Ends a request without success, as the routing policy demands. */
    void rejectRequest(String requestId) {
        OpenRequest openRequest = openRequests.get(requestId);
        if (openRequest != null && !openRequest.closed) {
            openRequest.closed = true;
            balancer.countRequest(false);
            removeIfDone(requestId, openRequest);
        }
    }

    private void removeIfDone(String requestId, OpenRequest openRequest) {
        if (openRequest.closed && openRequest.runningAttempts.isEmpty()) {
            openRequests.remove(requestId);
        }
    }
}
