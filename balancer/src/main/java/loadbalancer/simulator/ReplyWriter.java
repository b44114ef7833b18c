package loadbalancer.simulator;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import loadbalancer.routing.api.RoutingActions;

/**
 * Collects the actions of one batch as lines of the simulator's wire protocol. An ON_BEHALF line
 * names the instance of the lines that follow it. Not thread-safe.
 */
final class ReplyWriter implements RoutingActions {
    private static final String ALL_PEERS = "*";
    private static final String NO_PAYLOAD = "-";

    private final StringBuilder batchLines = new StringBuilder();
    // Empty until an instance is selected.
    private String currentInstance = "";
    private String writtenInstance = "";

    /** Selects the instance to which the following actions belong. */
    void selectInstance(String name) {
        currentInstance = name;
    }

    /** Appends a failure of the policy. The session ends after this batch. */
    void appendFailure(RuntimeException failure) {
        StackTraceElement[] trace = failure.getStackTrace();
        String location = trace.length == 0 ? "" : " at " + trace[0];
        appendLine("BAIL_OUT", toSingleLine(failure + location));
    }

    /**
     * Ends the batch, writes its lines to {@code output} and flushes it.
     *
     * @throws IOException if {@code output} can't be written
     */
    void finish(OutputStream output) throws IOException {
        batchLines.append("DONE\n");
        output.write(batchLines.toString().getBytes(StandardCharsets.UTF_8));
        output.flush();
    }

    private void appendLine(String name, Object... values) {
        if (!currentInstance.equals(writtenInstance)) {
            batchLines.append("ON_BEHALF\t").append(currentInstance).append('\n');
            writtenInstance = currentInstance;
        }
        batchLines.append(name);
        for (Object value : values) {
            batchLines.append('\t').append(value);
        }
        batchLines.append('\n');
    }

    private static String toSingleLine(String message) {
        return message.replace('\t', ' ').replace('\n', ' ').replace('\r', ' ');
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
                payload.length == 0 ? NO_PAYLOAD : Base64.getEncoder().encodeToString(payload);
        appendLine("BROADCAST_TO", peer < 0 ? ALL_PEERS : peer, encoded);
    }

    @Override
    public void scheduleTimer(long delayMicros) {
        appendLine("SLEEP", WireTerms.TIMER_NONCE, delayMicros);
    }

    @Override
    public void log(String message) {
        appendLine("REMARK", toSingleLine(message));
    }
}
