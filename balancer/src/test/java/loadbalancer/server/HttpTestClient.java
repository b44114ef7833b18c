package loadbalancer.server;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import loadbalancer.TestAwait;

/**
 * Represents one client connection to a balancer, used by one test thread at a time. Reads of
 * responses block that thread, and fail after {@link TestAwait#TIMEOUT} without input.
 */
final class HttpTestClient implements Closeable {
    final Socket socket;
    final InputStream input;
    // The body of the last response.
    byte[] body;

    HttpTestClient(InetSocketAddress serverAddress) throws IOException {
        socket = new Socket(serverAddress.getAddress(), serverAddress.getPort());
        socket.setSoTimeout((int) TestAwait.TIMEOUT.toMillis());
        input = new BufferedInputStream(socket.getInputStream());
    }

    HttpTestClient send(String text) throws IOException {
        return send(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    HttpTestClient send(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        socket.getOutputStream().flush();
        return this;
    }

    /** Closes the connection with a TCP reset instead of an orderly close. */
    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    /** Returns the body of the last response as text. */
    String bodyText() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /**
     * Reads the next response: returns its head and stores its body in {@link #body}. Returns null
     * if the balancer has closed the connection.
     */
    String readResponse() throws IOException {
        String head = FakeHttpServer.readHead(input);
        if (head != null) {
            String length =
                    head.toLowerCase(Locale.ROOT).split("content-length: ")[1].split("\r\n")[0];
            body = input.readNBytes(Integer.parseInt(length));
        }
        return head;
    }

    /** Reads the next response like {@link #readResponse}, skipping a preceding 100 Continue. */
    String readResponseAfterContinue() throws IOException {
        input.mark(64);
        byte[] start = input.readNBytes(12);
        input.reset();
        if (new String(start, StandardCharsets.ISO_8859_1).endsWith("100")) {
            FakeHttpServer.readHead(input);
        }
        return readResponse();
    }

    /** Reads the next response and returns its status code. */
    int readStatus() throws IOException {
        return Integer.parseInt(readResponse().split(" ")[1]);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
