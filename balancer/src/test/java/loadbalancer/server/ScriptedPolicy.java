package loadbalancer.server;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import loadbalancer.TestAwait;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.LoadReport;
import loadbalancer.routing.api.RoutingActions;
import loadbalancer.routing.api.RoutingPolicy;

/**
 * A routing policy that records its events as text, sends each request to {@link #endpointId},
 * fails each request whose attempt failed, and cancels the attempts of disconnected clients. Tests
 * change this through the fields, from any thread; the event loop calls the methods of the policy.
 */
class ScriptedPolicy implements RoutingPolicy {
    private static final long TIMEOUT_MS = TestAwait.TIMEOUT.toMillis();

    final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    final BlockingQueue<String> acceptedRequests = new LinkedBlockingQueue<>();
    volatile long timeoutMicros;
    // Whether a new request makes the policy throw.
    volatile boolean throwsOnRequest;
    volatile boolean allowsAttemptStarts = true;
    volatile boolean retriesRejected;
    volatile boolean cancelsOnDisconnect = true;
    // The endpoint that requests are sent to; if null, requests stay pending.
    volatile String endpointId = "s1";
    volatile RoutingActions capturedActions;
    volatile String lastRequestId;

    @Override
    public void onEndpointList(
            long now,
            EndpointListKind kind,
            List<Endpoint> endpoints,
            RoutingActions routingActions) {
        capturedActions = routingActions;
        events.add(
                kind
                        + " "
                        + endpoints.stream()
                                .map(endpoint -> endpoint.id() + "=" + endpoint.status())
                                .toList());
    }

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
            RoutingActions actions) {
        lastRequestId = requestId;
        acceptedRequests.add(classIndex + " " + key + " " + workHint + " " + resubmission);
        if (throwsOnRequest) {
            throw new IllegalStateException("broken");
        }
        if (endpointId != null) {
            actions.send(requestId, endpointId, timeoutMicros);
        }
    }

    @Override
    public void onAttemptEnded(
            long now,
            String requestId,
            int attemptNumber,
            AttemptOutcome outcome,
            long latencyMicros,
            boolean closed,
            LoadReport load,
            RoutingActions actions) {
        if (retriesRejected && !closed && outcome == AttemptOutcome.REJECTED) {
            events.add("retry");
            actions.send(requestId, endpointId, 0);
            return;
        }
        events.add(
                outcome + (load == null ? "" : " " + load.inFlight()) + (closed ? " closed" : ""));
        if (!closed) {
            actions.fail(requestId);
        }
    }

    @Override
    public void onUploadStarted(long now, String requestId) {
        events.add("uploading");
    }

    @Override
    public void onUploadCompleted(
            long now, String requestId, long remainingMicros, RoutingActions actions) {
        events.add("uploaded");
    }

    @Override
    public void onResponseAborted(long now, String endpointId, RoutingActions actions) {
        events.add("response aborted " + endpointId);
    }

    @Override
    public void onStreamStarted(
            long now, String requestId, int attemptNumber, RoutingActions actions) {}

    @Override
    public void onClientDisconnected(long now, String requestId, RoutingActions actions) {
        events.add("gone");
        if (cancelsOnDisconnect) {
            actions.cancel(requestId, 0);
        }
    }

    @Override
    public boolean canStartAttempt(long now, String requestId, int attemptNumber) {
        return allowsAttemptStarts;
    }

    @Override
    public void onHealthCheckResult(
            long now,
            String endpointId,
            AttemptOutcome outcome,
            long latencyMicros,
            LoadReport load,
            RoutingActions actions) {
        events.add("health check " + outcome + " " + (load == null ? "-" : load.inFlight()));
    }

    @Override
    public void onTimer(long now, RoutingActions actions) {}

    /**
     * Returns the next request as "class key work-hint resubmission"; fails if none arrives in
     * time.
     */
    String nextAcceptedRequest() throws InterruptedException {
        String request = acceptedRequests.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        if (request == null) {
            throw new AssertionError(
                    "the routing policy received no request within " + TIMEOUT_MS + " ms");
        }
        return request;
    }

    /** Returns the next event; fails if none arrives in time. */
    String nextEvent() throws InterruptedException {
        String event = events.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        if (event == null) {
            throw new AssertionError(
                    "the routing policy received no event within " + TIMEOUT_MS + " ms");
        }
        return event;
    }
}
