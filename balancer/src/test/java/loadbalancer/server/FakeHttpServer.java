package loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import loadbalancer.TestAwait;

/**
 * Receives HTTP requests, queues them for the test, and sends the responses that the test provides.
 * One daemon thread accepts connections and one per connection reads requests; responses are
 * written on the test's thread.
 */
public final class FakeHttpServer implements Closeable {
    /** The status line of a response that the balancer counts as a success. */
    public static final String OK_STATUS_LINE = "HTTP/1.1 200 OK\r\n";

    /** The head of a successful response with chunked transfer encoding. */
    public static final String CHUNKED_HEAD = OK_STATUS_LINE + "Transfer-Encoding: chunked\r\n\r\n";

    private static final int TIMEOUT_MS = (int) TestAwait.TIMEOUT.toMillis();

    /**
     * Holds a request as it was received, and the connection to respond on. Connections are
     * numbered from 1 in the order in which they were accepted.
     */
    public record ReceivedRequest(String head, byte[] body, Socket socket, int connectionNumber) {
        public String requestLine() {
            return head.substring(0, head.indexOf("\r\n"));
        }

        /** Returns the body as text. */
        String bodyText() {
            return new String(body, StandardCharsets.UTF_8);
        }

        /**
         * Returns the value of the first header with this name, whose case is ignored, or null if
         * there is none.
         */
        public String header(String name) {
            for (String line : head.split("\r\n")) {
                if (line.toLowerCase(Locale.ROOT).startsWith(name.toLowerCase(Locale.ROOT) + ":")) {
                    return line.substring(name.length() + 1).strip();
                }
            }
            return null;
        }

        public void sendRaw(String text) throws IOException {
            sendRaw(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        void sendRaw(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
        }

        void respond(int status, String headers, byte[] body) throws IOException {
            ByteArrayOutputStream response = new ByteArrayOutputStream();
            response.write(
                    ("HTTP/1.1 "
                                    + status
                                    + " X\r\n"
                                    + headers
                                    + "Content-Length: "
                                    + body.length
                                    + "\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            response.write(body);
            sendRaw(response.toByteArray());
        }

        public void respond(int status, String headers, String body) throws IOException {
            respond(status, headers, body.getBytes(StandardCharsets.UTF_8));
        }

        /** Closes the connection with a TCP reset. */
        public void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        /**
         * Waits until the peer closes or resets the connection. Returns false if it sends data
         * instead or does neither within the timeout.
         */
        public boolean awaitClosedByPeer() {
            try {
                socket.setSoTimeout(TIMEOUT_MS);
                return socket.getInputStream().read() < 0;
            } catch (IOException e) {
                return !(e instanceof java.net.SocketTimeoutException);
            }
        }
    }

    private final ServerSocket listener;
    private final BlockingQueue<ReceivedRequest> receivedRequests = new LinkedBlockingQueue<>();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final AtomicInteger connectionCount = new AtomicInteger();
    // The acceptor is at index 0, the reader of connection n at index n.
    private final List<Thread> threads = new CopyOnWriteArrayList<>();

    public FakeHttpServer() throws IOException {
        listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        startThread(
                () -> {
                    while (true) {
                        Socket socket = listener.accept();
                        sockets.add(socket);
                        int connectionNumber = connectionCount.incrementAndGet();
                        startThread(() -> readRequests(socket, connectionNumber));
                    }
                });
    }

    private interface IoTask {
        void run() throws IOException;
    }

    private void startThread(IoTask task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (IOException e) {
                                // The socket was closed, so its thread ends.
                                Thread.currentThread().interrupt();
                            }
                        });
        thread.setDaemon(true);
        threads.add(thread);
        thread.start();
    }

    private void readRequests(Socket socket, int connectionNumber) throws IOException {
        InputStream input = new BufferedInputStream(socket.getInputStream());
        while (true) {
            String head = readHead(input);
            if (head == null) {
                return;
            }
            ReceivedRequest receivedRequest =
                    new ReceivedRequest(head, new byte[0], socket, connectionNumber);
            String length = receivedRequest.header("Content-Length");
            byte[] body =
                    receivedRequest.header("Transfer-Encoding") != null
                            ? readChunked(input)
                            : input.readNBytes(length == null ? 0 : Integer.parseInt(length));
            if (length != null && body.length < Integer.parseInt(length)) {
                // The connection ended before the request was complete.
                return;
            }
            receivedRequests.add(new ReceivedRequest(head, body, socket, connectionNumber));
            if (head.contains("watch=1")) {
                // The test itself reads any further input from a watch's connection.
                return;
            }
        }
    }

    /**
     * Reads a chunked body.
     *
     * @throws IOException if the stream ends before the last chunk
     */
    static byte[] readChunked(InputStream input) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int chunkSize = Integer.parseInt(readLine(input), 16);
            body.write(input.readNBytes(chunkSize));
            if (!readLine(input).isEmpty()) {
                throw new IOException("the data of a chunk is not followed by a line end");
            }
            if (chunkSize == 0) {
                return body.toByteArray();
            }
        }
    }

    private static String readLine(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int character = input.read(); character != '\n'; character = input.read()) {
            if (character < 0) {
                throw new IOException("the stream ended amid a chunk");
            }
            line.append((char) character);
        }
        return line.toString().strip();
    }

    /**
     * Reads up to and including the empty line that ends a head. Returns null if the stream ends
     * before it.
     */
    public static String readHead(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int character = input.read();
            if (character < 0) {
                return null;
            }
            head.append((char) character);
        }
        return head.toString();
    }

    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Closes all connections, even those with a request in progress. */
    void closeAllConnections() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    /**
     * Waits until the operating system has closed a connection that the test closed. The system
     * sends neither a FIN nor a reset while the connection's reader thread is still blocked in a
     * read.
     */
    void awaitClosed(ReceivedRequest receivedRequest) throws InterruptedException {
        Thread reader = threads.get(receivedRequest.connectionNumber());
        reader.join(TIMEOUT_MS);
        assertFalse(reader.isAlive(), "the connection that the test closed is still being read");
    }

    int connectionCount() {
        return connectionCount.get();
    }

    /** Returns the next request; fails the test if none is received in time. */
    public ReceivedRequest nextRequest() throws InterruptedException {
        ReceivedRequest receivedRequest = receivedRequests.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        if (receivedRequest == null) {
            throw new AssertionError("no request was received within " + TIMEOUT_MS + " ms");
        }
        return receivedRequest;
    }

    /** Returns the next request; waits for it without a limit. */
    ReceivedRequest takeRequest() throws InterruptedException {
        return receivedRequests.take();
    }

    /** Returns whether the test has taken all requests received so far. */
    public boolean hasNoQueuedRequests() {
        return receivedRequests.isEmpty();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        try {
            // The system may accept connections, instead of refusing them, until the acceptor ends.
            threads.get(0).join(TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
