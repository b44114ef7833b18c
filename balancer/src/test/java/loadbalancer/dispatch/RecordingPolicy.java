package loadbalancer.dispatch;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.LoadReport;
import loadbalancer.routing.api.RoutingActions;
import loadbalancer.routing.api.RoutingPolicy;

/** A routing policy that records its events and asks for nothing by itself. */
public final class RecordingPolicy implements RoutingPolicy {
    private final List<String> events = new ArrayList<>();
    private Runnable timerHandler = () -> {};
    private RoutingActions actions;
    private String requestId;

    /** What the policy was called with, in order. */
    public List<String> events() {
        return events;
    }

    /** Runs {@code handler} within each timer event. */
    void onTimer(Runnable handler) {
        timerHandler = handler;
    }

    /** The actions that came with the last request. */
    public RoutingActions actions() {
        return actions;
    }

    /** The id of the last request. */
    public String requestId() {
        return requestId;
    }

    @Override
    public void onEndpointList(
            long now, EndpointListKind kind, List<Endpoint> endpoints, RoutingActions sink) {
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
            RoutingActions sink) {
        events.add("request");
        actions = sink;
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
            RoutingActions sink) {
        events.add("attempt " + attemptNumber + " " + outcome + (closed ? " closed" : ""));
    }

    @Override
    public void onStreamStarted(
            long now, String streamedRequestId, int attemptNumber, RoutingActions sink) {
        events.add("stream");
    }

    @Override
    public void onUploadStarted(long now, String uploadedRequestId) {
        events.add("upload started");
    }

    @Override
    public void onUploadCompleted(
            long now, String uploadedRequestId, long remainingMicros, RoutingActions sink) {
        events.add("upload completed");
    }

    @Override
    public void onClientDisconnected(long now, String leftRequestId, RoutingActions sink) {
        events.add("disconnected");
    }

    @Override
    public void onTimer(long now, RoutingActions sink) {
        events.add("timer begins");
        timerHandler.run();
        events.add("timer ends");
    }
}
