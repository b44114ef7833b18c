package loadbalancer.simulator;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.config.BootSettings;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.EndpointStatus;
import loadbalancer.routing.api.LoadReport;
import loadbalancer.routing.api.LoadReportParser;
import loadbalancer.routing.api.RoutingActions;
import loadbalancer.routing.api.RoutingPolicy;
import loadbalancer.routing.api.RoutingSettings;

/**
 * Hosts many instances of the module and translates between them and the wire. It decides nothing.
 */
public final class SimulatorAdapter {
    private static final int LIST_BUFFER_COUNT = 16;
    private static final String TIMER_NONCE = "wake";

    /** Makes the module of a new instance. */
    public interface PolicyFactory {
        RoutingPolicy create(RoutingSettings settings, long seed);
    }

    private record Instance(String name, RoutingPolicy policy, BootSettings bootSettings) {}

    private final PolicyFactory factory;
    private final BufferedReader input;
    private final OutputStream output;
    private final Map<String, Instance> instances = new HashMap<>();
    private final List<List<Endpoint>> listBuffers = new ArrayList<>();
    private long lineNumber;

    public SimulatorAdapter(PolicyFactory factory, BufferedReader input, OutputStream output) {
        this.factory = factory;
        this.input = input;
        this.output = output;
        for (int i = 0; i < LIST_BUFFER_COUNT; i++) {
            listBuffers.add(null);
        }
    }

    /** Answers batch after batch until the input ends. */
    public void run() throws IOException {
        boolean running = true;
        for (WireFrame frame = readFrame();
                frame != null && running;
                frame = running ? readFrame() : null) {
            if (!frame.name().equals("TICK")) {
                throw frame.malformed("TICK", "a batch begins with it");
            }
            ReplyWriter reply = new ReplyWriter();
            try {
                processBatch(frame.requireFields("Clock").longValue(1, "Clock"), reply);
            } catch (WireFormatException e) {
                throw e;
            } catch (RuntimeException e) {
                StackTraceElement[] trace = e.getStackTrace();
                running = false;
                reply.appendLine(
                        "BAIL_OUT", toSingleLine(e + (trace.length == 0 ? "" : " at " + trace[0])));
            }
            reply.text.append("DONE\n");
            output.write(reply.text.toString().getBytes(StandardCharsets.UTF_8));
            output.flush();
        }
    }

    private WireFrame readFrame() throws IOException {
        String text = input.readLine();
        lineNumber++;
        return text == null ? null : new WireFrame(lineNumber, text);
    }

    private void processBatch(long now, ReplyWriter reply) throws IOException {
        String instanceName = null;
        while (true) {
            WireFrame frame = readFrame();
            if (frame == null) {
                throw new WireFormatException(
                        "line " + lineNumber + ": GO: field GO: the input ends within a batch");
            }
            switch (frame.name()) {
                case "GO" -> {
                    frame.requireFields();
                    return;
                }
                case "AT" ->
                        instanceName = frame.requireFields("Balancer").requiredText(1, "Balancer");
                case "LIST" -> readEndpointList(frame);
                case "ENLIST" -> {
                    frame.requiredText(1, "InitSeed");
                    long seed = frame.longValue(1, "InitSeed");
                    BootSettings bootSettings = WireSettingsParser.read(frame, 2);
                    String newInstanceName = requireInstanceName(frame, instanceName);
                    reply.selectInstance(newInstanceName);
                    instances.put(
                            newInstanceName,
                            new Instance(
                                    newInstanceName,
                                    factory.create(bootSettings.settings(), seed),
                                    bootSettings));
                }
                case "EXIT" -> {
                    frame.requireFields();
                    instances.remove(requireInstanceName(frame, instanceName));
                }
                default -> {
                    Instance instance = instances.get(requireInstanceName(frame, instanceName));
                    if (instance == null) {
                        throw frame.malformed(
                                "Balancer", "no such instance is running: '" + instanceName + "'");
                    }
                    reply.selectInstance(instance.name);
                    deliverEvent(frame, instance, now, reply);
                }
            }
        }
    }

    private static String requireInstanceName(WireFrame frame, String instanceName) {
        if (instanceName == null) {
            throw frame.malformed("Balancer", "no AT line names the instance");
        }
        return instanceName;
    }

    private void deliverEvent(WireFrame frame, Instance instance, long now, ReplyWriter reply) {
        RoutingPolicy policy = instance.policy;
        switch (frame.name()) {
            case "SYNC" -> {
                frame.requireFields("How", "SeqNo", "Buffer");
                EndpointListKind kind =
                        switch (frame.requiredText(1, "How")) {
                            case "Persisted" -> EndpointListKind.CACHED;
                            case "Complete" -> EndpointListKind.COMPLETE;
                            case "Partial" -> EndpointListKind.DELTA;
                            case "Error" -> EndpointListKind.FAILED;
                            default ->
                                    throw frame.malformed(
                                            "How",
                                            "unknown word: '" + frame.rawValue(1, "How") + "'");
                        };
                frame.longValue(2, "SeqNo", 0);
                List<Endpoint> endpoints = List.of();
                if (kind != EndpointListKind.FAILED) {
                    endpoints = listBuffers.get(frame.index(3, "Buffer", LIST_BUFFER_COUNT));
                    if (endpoints == null) {
                        throw frame.malformed(
                                "Buffer",
                                "no LIST has that number: " + frame.rawValue(3, "Buffer"));
                    }
                }
                policy.onEndpointList(now, kind, endpoints, reply);
            }
            case "INBOUND" -> {
                frame.requireFields(
                        "Req", "Priority", "Account", "NameKey", "Ttl", "Hint", "Options");
                RoutingSettings settings = instance.bootSettings.settings();
                long options = frame.longValue(7, "Options", 0);
                policy.onRequest(
                        now,
                        frame.requiredText(1, "Req"),
                        frame.index(2, "Priority", settings.requestClasses().size()),
                        frame.isAbsent(3, "Account")
                                ? 0
                                : frame.index(3, "Account", Math.max(1, settings.tenants().size())),
                        frame.isAbsent(4, "NameKey") ? null : frame.requiredText(4, "NameKey"),
                        frame.longValue(5, "Ttl"),
                        (options & 1) == 0 ? -1 : frame.longValue(6, "Hint", -1),
                        (options & 2) != 0,
                        reply);
            }
            case "DUE" -> {
                frame.requireFields("Nonce");
                if (frame.requiredText(1, "Nonce").equals(TIMER_NONCE)) {
                    policy.onTimer(now, reply);
                }
            }
            case "RESPONSE" -> {
                frame.requireFields("Req", "SendNo", "Upstream", "Rc", "Lag", "Closed", "Usage");
                frame.requiredText(3, "Upstream");
                policy.onAttemptEnded(
                        now,
                        frame.requiredText(1, "Req"),
                        frame.index(2, "SendNo", Integer.MAX_VALUE),
                        readOutcome(frame, 4),
                        frame.longValue(5, "Lag"),
                        frame.booleanValue(6, "Closed"),
                        readLoadReport(frame, 7, instance),
                        reply);
            }
            case "ACK_FIRST" -> {
                frame.requireFields("Req", "SendNo", "Upstream", "Lag");
                policy.onStreamStarted(
                        now,
                        frame.requiredText(1, "Req"),
                        frame.index(2, "SendNo", Integer.MAX_VALUE),
                        reply);
            }
            case "WITHDRAWN" ->
                    policy.onClientDisconnected(
                            now, frame.requireFields("Req").requiredText(1, "Req"), reply);
            case "PROBE_RESULT" -> {
                frame.requireFields("Upstream", "Lag", "Rc", "Usage");
                policy.onHealthCheckResult(
                        now,
                        frame.requiredText(1, "Upstream"),
                        readOutcome(frame, 3),
                        frame.longValue(2, "Lag"),
                        readLoadReport(frame, 4, instance),
                        reply);
            }
            case "MAIL" -> {
                frame.requireFields("Src", "Data");
                policy.onPeerMessage(
                        now,
                        frame.index(1, "Src", Integer.MAX_VALUE),
                        frame.decodedBytes(2, "Data"),
                        reply);
            }
            default -> throw frame.malformed(frame.name(), "unknown message");
        }
    }

    private void readEndpointList(WireFrame header) throws IOException {
        int bufferIndex =
                header.requireFields("Buffer", "Entries").index(1, "Buffer", LIST_BUFFER_COUNT);
        int entryCount = header.index(2, "Entries", Integer.MAX_VALUE);
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < entryCount; i++) {
            WireFrame frame = readFrame();
            if (frame == null || !frame.name().equals("ITEM")) {
                throw new WireFormatException(
                        "line "
                                + lineNumber
                                + ": LIST: field Entries: "
                                + entryCount
                                + " ITEM lines announced, "
                                + i
                                + " found");
            }
            frame.requireFields(
                    "StartTime",
                    "Upstream",
                    "StageState",
                    "Heft",
                    "Group",
                    "GenerationHw",
                    "Locality");
            EndpointStatus status =
                    switch (frame.requiredText(3, "StageState")) {
                        case "U" -> EndpointStatus.UP;
                        case "L" -> EndpointStatus.DRAINING;
                        case "D" -> EndpointStatus.REMOVED;
                        default ->
                                throw frame.malformed(
                                        "StageState",
                                        "unknown word: '" + frame.rawValue(3, "StageState") + "'");
                    };
            endpoints.add(
                    new Endpoint(
                            frame.requiredText(2, "Upstream"),
                            status,
                            frame.longValue(1, "StartTime", 0),
                            frame.isAbsent(4, "Heft") ? 1 : frame.doubleValue(4, "Heft"),
                            frame.index(5, "Group"),
                            frame.index(6, "GenerationHw"),
                            frame.index(7, "Locality")));
        }
        listBuffers.set(bufferIndex, List.copyOf(endpoints));
    }

    private static AttemptOutcome readOutcome(WireFrame frame, int position) {
        return switch (frame.requiredText(position, "Rc")) {
            case "200" -> AttemptOutcome.OK;
            case "502" -> AttemptOutcome.ERROR;
            case "429" -> AttemptOutcome.REJECTED;
            case "408" -> AttemptOutcome.TIMEOUT;
            case "521" -> AttemptOutcome.CONNECT_FAILED;
            case "520" -> AttemptOutcome.RESET;
            case "444" -> AttemptOutcome.CANCELLED;
            case "409" -> AttemptOutcome.NOT_SENT;
            default ->
                    throw frame.malformed(
                            "Rc", "unknown code: '" + frame.rawValue(position, "Rc") + "'");
        };
    }

    private static LoadReport readLoadReport(WireFrame frame, int position, Instance instance) {
        if (frame.isAbsent(position, "Usage")) {
            return null;
        }
        List<String> fieldNames = instance.bootSettings.loadFields();
        String[] values = frame.rawValue(position, "Usage").split(",", -1);
        if (values.length < fieldNames.size()) {
            throw frame.malformed(
                    "Usage", fieldNames.size() + " values expected, " + values.length + " found");
        }
        double[] reportValues = LoadReportParser.unknownValues();
        for (int i = 0; i < fieldNames.size(); i++) {
            int slot = LoadReportParser.fieldIndex(fieldNames.get(i));
            if (slot >= 0 && !values[i].equals("-")) {
                reportValues[slot] = frame.doubleValue(values[i], "Usage");
            }
        }
        return LoadReportParser.toLoadReport(reportValues);
    }

    private static String toSingleLine(String text) {
        return text.replace('\t', ' ').replace('\n', ' ').replace('\r', ' ');
    }

    /** Writes the actions of one batch, each under the line that names its instance. */
    private static final class ReplyWriter implements RoutingActions {
        private final StringBuilder text = new StringBuilder();
        private String currentInstance;
        private String writtenInstance;

        void selectInstance(String name) {
            currentInstance = name;
        }

        private void appendLine(String name, Object... values) {
            if (currentInstance != null && !currentInstance.equals(writtenInstance)) {
                text.append("ON_BEHALF\t").append(currentInstance).append('\n');
                writtenInstance = currentInstance;
            }
            text.append(name);
            for (Object value : values) {
                text.append('\t').append(value);
            }
            text.append('\n');
        }

        @Override
        public void send(String requestId, String endpointId, long timeoutMicros) {
            appendLine("DELIVER", requestId, endpointId, timeoutMicros);
        }

        @Override
        public void reject(String requestId, long retryAfterMicros) {
            appendLine("REFUSE", requestId, retryAfterMicros);
        }

        @Override
        public void fail(String requestId) {
            appendLine("ERROR", requestId);
        }

        @Override
        public void cancel(String requestId, int attemptNumber) {
            appendLine("UNDO_SEND", requestId, attemptNumber);
        }

        @Override
        public void checkHealth(String endpointId) {
            appendLine("PING", endpointId);
        }

        @Override
        public void watchEndpoints(boolean enabled) {
            appendLine("WATCH", enabled ? 1 : 0);
        }

        @Override
        public void fetchEndpointList() {
            appendLine("LIST_ALL");
        }

        @Override
        public void closeIdleConnections(String endpointId) {
            appendLine("CLOSE_IDLE", endpointId);
        }

        @Override
        public void sendToPeer(int peer, byte[] payload) {
            String encoded =
                    payload.length == 0 ? "-" : Base64.getEncoder().encodeToString(payload);
            appendLine("BROADCAST_TO", peer < 0 ? "*" : peer, encoded);
        }

        @Override
        public void scheduleTimer(long delayMicros) {
            appendLine("SLEEP", TIMER_NONCE, delayMicros);
        }

        @Override
        public void log(String message) {
            appendLine("REMARK", toSingleLine(message));
        }
    }
}
