package loadbalancer.dispatch;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.LoadReport;
import loadbalancer.routing.api.RoutingActions;
import loadbalancer.routing.api.RoutingPolicy;

/** Routing policy that records its events and requests no actions. */
public final class RecordingPolicy implements RoutingPolicy {
    private final List<String> events = new ArrayList<>();
    private Runnable timerHandler = () -> {};
    private Runnable queryHandler = () -> {};
    private RoutingActions actions;
    private String requestId;

    /** Returns the recorded events in order. */
    public List<String> events() {
        return events;
    }

    /** Sets a handler that runs during each timer event. */
    void onTimer(Runnable handler) {
        timerHandler = handler;
    }

    /** Sets a handler that runs during each query of an attempt. */
    void onQuery(Runnable handler) {
        queryHandler = handler;
    }

    /** Returns the actions that were passed with the last request. */
    public RoutingActions actions() {
        return actions;
    }

    /** Returns the id of the last request. */
    public String requestId() {
        return requestId;
    }

    @Override
    public void onEndpointList(
            long now,
            EndpointListKind kind,
            List<Endpoint> endpoints,
            RoutingActions routingActions) {
        events.add("list " + kind + " " + endpoints.size());
    }

    @Override
    public void onRequest(
            long now,
            String newRequestId,
            int classIndex,
            int tenantIndex,
            String key,
            long remainingMicros,
            long workHint,
            boolean resubmission,
            RoutingActions routingActions) {
        events.add("request");
        actions = routingActions;
        requestId = newRequestId;
    }

    @Override
    public void onAttemptEnded(
            long now,
            String endedRequestId,
            int attemptNumber,
            AttemptOutcome outcome,
            long latencyMicros,
            boolean closed,
            LoadReport load,
            RoutingActions routingActions) {
        events.add("attempt " + attemptNumber + " " + outcome + (closed ? " closed" : ""));
    }

    @Override
    public void onStreamStarted(
            long now, String streamedRequestId, int attemptNumber, RoutingActions routingActions) {
        events.add("stream");
    }

    @Override
    public void onUploadStarted(long now, String uploadedRequestId) {
        events.add("upload started");
    }

    @Override
    public void onUploadCompleted(
            long now,
            String uploadedRequestId,
            long remainingMicros,
            RoutingActions routingActions) {
        events.add("upload completed");
    }

    @Override
    public void onClientDisconnected(
            long now, String disconnectedRequestId, RoutingActions routingActions) {
        events.add("disconnected");
    }

    @Override
    public boolean canStartAttempt(long now, String queriedRequestId, int attemptNumber) {
        queryHandler.run();
        return true;
    }

    @Override
    public boolean mayResponseTakeUntilDeadline(String queriedRequestId) {
        queryHandler.run();
        return false;
    }

    @Override
    public void onTimer(long now, RoutingActions routingActions) {
        events.add("timer begins");
        timerHandler.run();
        events.add("timer ends");
    }
}
