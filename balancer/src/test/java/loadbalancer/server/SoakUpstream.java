package loadbalancer.server;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An upstream whose behavior depends on the first letter of a request's id, and that counts how
 * often each id has run. One daemon thread for each connection.
 */
final class SoakUpstream implements Closeable {
    /** Stops reading in the middle of the body. */
    static final char STUCK = 's';

    /** Sends a long response whose body comes late and slowly. */
    static final char LATE = 'l';

    /** Never responds. */
    static final char SILENT = 'h';

    /** Sends the head of a response with very many fields, and nothing more. */
    static final char WIDE = 'w';

    private static final int BACKLOG = 500;
    private static final int LONG_BODY_BYTES = 300_000;
    private static final int PIECE_BYTES = 30_000;
    private static final int FIELDS = 1_900;
    private static final long HANG_MS = 5_000;

    private final ServerSocket listener;
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

    SoakUpstream() throws IOException {
        listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        startThread(this::acceptAll);
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(null, task, "soak-upstream", 128 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket socket = listener.accept();
                startThread(() -> serve(socket));
            }
        } catch (IOException e) {
            // The listener was closed.
            Thread.currentThread().interrupt();
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream input = new BufferedInputStream(socket.getInputStream());
            String head = FakeHttpServer.readHead(input);
            while (head != null) {
                serveRequest(head, input, socket.getOutputStream());
                head = FakeHttpServer.readHead(input);
            }
        } catch (IOException | InterruptedException e) {
            // The balancer has closed the connection.
            Thread.currentThread().interrupt();
        }
    }

    private void serveRequest(String head, InputStream input, OutputStream output)
            throws IOException, InterruptedException {
        String requestId = field(head, "req-id", "?");
        char behavior = requestId.charAt(0);
        if (behavior == STUCK) {
            TimeUnit.MILLISECONDS.sleep(HANG_MS);
        }
        readBody(head, input);
        runs.computeIfAbsent(requestId, id -> new AtomicInteger()).incrementAndGet();
        TimeUnit.MILLISECONDS.sleep(behavior == SILENT ? HANG_MS : 5);
        if (behavior == LATE) {
            respondLate(output);
        } else if (behavior == WIDE) {
            write(output, "HTTP/1.1 200 OK\r\n" + "a:\r\n".repeat(FIELDS));
        } else {
            write(output, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        }
    }

    private static void readBody(String head, InputStream input) throws IOException {
        if (!field(head, "transfer-encoding", "").isEmpty()) {
            FakeHttpServer.readChunked(input);
            return;
        }
        int length = Integer.parseInt(field(head, "content-length", "0"));
        if (input.readNBytes(length).length < length) {
            throw new IOException("the request is incomplete");
        }
    }

    private static void respondLate(OutputStream output) throws IOException, InterruptedException {
        write(output, "HTTP/1.1 200 OK\r\nContent-Length: " + LONG_BODY_BYTES + "\r\n\r\n");
        TimeUnit.MILLISECONDS.sleep(700);
        for (int sent = 0; sent < LONG_BODY_BYTES; sent += PIECE_BYTES) {
            write(output, "x".repeat(PIECE_BYTES));
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    private static void write(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static String field(String head, String name, String defaultValue) {
        return head.lines()
                .filter(line -> line.regionMatches(true, 0, name + ":", 0, name.length() + 1))
                .map(line -> line.substring(name.length() + 1).strip())
                .findFirst()
                .orElse(defaultValue);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Returns how often each id has run. */
    Map<String, AtomicInteger> runs() {
        return runs;
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
