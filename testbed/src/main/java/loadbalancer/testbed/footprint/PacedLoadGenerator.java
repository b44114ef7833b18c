package loadbalancer.testbed.footprint;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.function.IntFunction;
import org.HdrHistogram.Histogram;

/**
 * Sends requests at a constant rate over one connection, one at a time. Latencies are measured from
 * the time at which a request was due, so that a stall counts for all requests that it delays.
 * Requests are sent on a thread of its own; the methods may be called on any other thread.
 */
final class PacedLoadGenerator implements AutoCloseable {
    private static final int READ_TIMEOUT_MS = 10_000;

    private final InetSocketAddress target;
    private Socket socket;
    private InputStream input;
    private final IntFunction<String> tenantOfRequest;
    private final int requestsPerSecond;
    private final Thread thread = new Thread(this::sendRequests, "client");
    private Histogram latenciesMicros = new Histogram(3);
    private long failedRequests;
    private volatile boolean closed;

    /**
     * Connects and starts to send requests.
     *
     * @param tenantOfRequest returns the tenant of a request by its number; null: no tenants
     * @throws IOException if the connection fails
     */
    PacedLoadGenerator(
            InetSocketAddress target, int requestsPerSecond, IntFunction<String> tenantOfRequest)
            throws IOException {
        this.target = target;
        this.requestsPerSecond = requestsPerSecond;
        this.tenantOfRequest = tenantOfRequest;
        connect();
        thread.setDaemon(true);
        thread.start();
    }

    private void connect() throws IOException {
        socket = new Socket(target.getAddress(), target.getPort());
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(READ_TIMEOUT_MS);
        input = new BufferedInputStream(socket.getInputStream());
    }

    /** Returns the latencies since the last call of this method, µs, and starts a new histogram. */
    synchronized Histogram takeLatencies() {
        Histogram latencies = latenciesMicros;
        latenciesMicros = new Histogram(3);
        return latencies;
    }

    /** Returns the number of requests without a response or with a status other than 200. */
    synchronized long failedRequests() {
        return failedRequests;
    }

    private void sendRequests() {
        Pacer pacer = new Pacer(requestsPerSecond);
        try {
            for (int i = 0; !closed; i++) {
                long dueNanos = pacer.awaitDue(i, () -> closed);
                boolean served = sendRequest(i);
                long latencyNanos = System.nanoTime() - dueNanos;
                synchronized (this) {
                    latenciesMicros.recordValue(Math.max(0, latencyNanos / 1000));
                    failedRequests += served || closed ? 0 : 1;
                }
            }
        } catch (IOException e) {
            synchronized (this) {
                failedRequests += closed ? 0 : 1;
            }
        }
    }

    // Returns whether the response was 200. If the connection fails, opens a new one for the next
    // request: the balancer may close a connection after a response.
    private boolean sendRequest(int number) throws IOException {
        String request =
                "GET /api HTTP/1.1\r\nHost: backend.local\r\nReq-Id: "
                        + String.format(Locale.ROOT, "%016x", number)
                        + "\r\nReq-Kind: safe\r\nReq-Deadline-Ms: 1000\r\n"
                        + (tenantOfRequest == null
                                ? ""
                                : "Req-Owner: " + tenantOfRequest.apply(number) + "\r\n")
                        + "\r\n";
        try {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return readResponse();
        } catch (IOException e) {
            if (!closed) {
                socket.close();
                connect();
            }
            return false;
        }
    }

    private boolean readResponse() throws IOException {
        String statusLine = readLine();
        int contentLength = 0;
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                contentLength = Integer.parseInt(line.substring(line.indexOf(':') + 1).strip());
            }
        }
        input.readNBytes(contentLength);
        return statusLine.startsWith("HTTP/1.1 200");
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int character = input.read(); character != '\n'; character = input.read()) {
            if (character < 0) {
                throw new EOFException("the connection was closed before the end of the response");
            }
            if (character != '\r') {
                line.append((char) character);
            }
        }
        return line.toString();
    }

    @Override
    public void close() throws IOException {
        closed = true;
        try {
            thread.join(500);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        socket.close();
    }
}
