package loadbalancer.simulator;

import java.util.List;
import loadbalancer.config.BootSettings;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.LoadReport;
import loadbalancer.routing.api.LoadReportParser;
import loadbalancer.routing.api.RoutingPolicy;
import loadbalancer.routing.api.RoutingSettings;

/**
 * Decodes the events of one simulated balancer and passes them to its routing policy. Not
 * thread-safe.
 *
 * @param name the instance's name in the protocol
 * @param policy the instance's routing policy
 * @param bootSettings the settings with which the instance was started
 */
record PolicyInstance(String name, RoutingPolicy policy, BootSettings bootSettings) {
    private static final String REQUEST = "Req";
    private static final String ATTEMPT = "SendNo";
    private static final String ENDPOINT = "Upstream";
    private static final String LATENCY = "Lag";
    private static final String OUTCOME = "Rc";
    private static final String CLOSED = "Closed";
    private static final String LOAD_REPORT = "Usage";
    private static final String TENANT = "Account";
    private static final String KEY = "NameKey";
    private static final String NONCE = "Nonce";
    private static final String SENDER = "Src";
    private static final String PAYLOAD = "Data";
    private static final int UNKNOWN_WORK = -1;
    // Bits of the field Options.
    private static final long HAS_WORK_HINT = 1;
    private static final long IS_RESUBMISSION = 2;

    /**
     * Passes the event in {@code frame} to the policy, which writes its actions to {@code reply}.
     *
     * @throws WireFormatException if the frame is malformed or has an unknown name
     */
    void deliver(WireFrame frame, long nowMicros, EndpointListBuffers lists, ReplyWriter reply) {
        switch (frame.name()) {
            case "SYNC" -> onSync(frame, nowMicros, lists, reply);
            case "INBOUND" -> onInbound(frame, nowMicros, reply);
            case "DUE" -> onDue(frame, nowMicros, reply);
            case "RESPONSE" -> onResponse(frame, nowMicros, reply);
            case "ACK_FIRST" -> onAckFirst(frame, nowMicros, reply);
            case "WITHDRAWN" -> {
                String requestId = frame.withFields(REQUEST).text(REQUEST);
                policy.onClientDisconnected(nowMicros, requestId, reply);
            }
            case "PROBE_RESULT" -> onProbeResult(frame, nowMicros, reply);
            case "MAIL" -> onMail(frame, nowMicros, reply);
            default -> throw frame.malformed(frame.name(), "unknown message");
        }
    }

    private void onSync(
            WireFrame frame, long nowMicros, EndpointListBuffers lists, ReplyWriter reply) {
        frame.withFields("How", "SeqNo", "Buffer");
        EndpointListKind kind = frame.term("How", "word", WireTerms.LIST_KINDS);
        // Validated only: the policy does not use the sequence number.
        frame.integer("SeqNo", 0);
        List<Endpoint> endpoints = kind == EndpointListKind.FAILED ? List.of() : lists.get(frame);
        policy.onEndpointList(nowMicros, kind, endpoints, reply);
    }

    private void onInbound(WireFrame frame, long nowMicros, ReplyWriter reply) {
        frame.withFields(REQUEST, "Priority", TENANT, KEY, "Ttl", "Hint", "Options");
        RoutingSettings settings = bootSettings.settings();
        long options = frame.integer("Options", 0);
        boolean hasWorkHint = (options & HAS_WORK_HINT) != 0;
        policy.onRequest(
                nowMicros,
                frame.text(REQUEST),
                frame.index("Priority", settings.requestClasses().size()),
                frame.index(TENANT, Math.max(1, settings.tenants().size()), 0),
                frame.isAbsent(KEY) ? null : frame.text(KEY),
                frame.integer("Ttl"),
                hasWorkHint ? frame.integer("Hint", UNKNOWN_WORK) : UNKNOWN_WORK,
                (options & IS_RESUBMISSION) != 0,
                reply);
    }

    private void onDue(WireFrame frame, long nowMicros, ReplyWriter reply) {
        if (frame.withFields(NONCE).text(NONCE).equals(WireTerms.TIMER_NONCE)) {
            policy.onTimer(nowMicros, reply);
        }
    }

    private void onResponse(WireFrame frame, long nowMicros, ReplyWriter reply) {
        frame.withFields(REQUEST, ATTEMPT, ENDPOINT, OUTCOME, LATENCY, CLOSED, LOAD_REPORT);
        // Validated only: the attempt number already identifies the endpoint.
        frame.text(ENDPOINT);
        policy.onAttemptEnded(
                nowMicros,
                frame.text(REQUEST),
                frame.index(ATTEMPT, Integer.MAX_VALUE),
                outcome(frame),
                frame.integer(LATENCY),
                frame.flag(CLOSED),
                loadReport(frame),
                reply);
    }

    private void onAckFirst(WireFrame frame, long nowMicros, ReplyWriter reply) {
        frame.withFields(REQUEST, ATTEMPT, ENDPOINT, LATENCY);
        policy.onStreamStarted(
                nowMicros, frame.text(REQUEST), frame.index(ATTEMPT, Integer.MAX_VALUE), reply);
    }

    private void onProbeResult(WireFrame frame, long nowMicros, ReplyWriter reply) {
        frame.withFields(ENDPOINT, LATENCY, OUTCOME, LOAD_REPORT);
        policy.onHealthCheckResult(
                nowMicros,
                frame.text(ENDPOINT),
                outcome(frame),
                frame.integer(LATENCY),
                loadReport(frame),
                reply);
    }

    private void onMail(WireFrame frame, long nowMicros, ReplyWriter reply) {
        frame.withFields(SENDER, PAYLOAD);
        policy.onPeerMessage(
                nowMicros, frame.index(SENDER, Integer.MAX_VALUE), frame.bytes(PAYLOAD), reply);
    }

    private static AttemptOutcome outcome(WireFrame frame) {
        return frame.term(OUTCOME, "code", WireTerms.OUTCOMES);
    }

    // Returns null if the event has no load report, as RoutingPolicy defines.
    private LoadReport loadReport(WireFrame frame) {
        if (frame.isAbsent(LOAD_REPORT)) {
            return null;
        }
        List<String> valueNames = bootSettings.loadFields();
        String[] values = frame.rawValue(LOAD_REPORT).split(",", -1);
        if (values.length < valueNames.size()) {
            throw frame.malformed(
                    LOAD_REPORT,
                    valueNames.size() + " values expected, " + values.length + " found");
        }
        double[] reportValues = LoadReportParser.unknownValues();
        for (int i = 0; i < valueNames.size(); i++) {
            int valueIndex = LoadReportParser.fieldIndex(valueNames.get(i));
            if (valueIndex >= 0 && !values[i].equals("-")) {
                reportValues[valueIndex] = frame.parseNumber(LOAD_REPORT, values[i]);
            }
        }
        return LoadReportParser.toLoadReport(reportValues);
    }
}
