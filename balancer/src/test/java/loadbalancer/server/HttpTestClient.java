package loadbalancer.server;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A client's connection, with blocking reads of responses. */
final class HttpTestClient implements Closeable {
    final Socket socket;
    final InputStream input;
    byte[] body;

    HttpTestClient(InetSocketAddress serverAddress) throws IOException {
        socket = new Socket(serverAddress.getAddress(), serverAddress.getPort());
        socket.setSoTimeout(20_000);
        input = new BufferedInputStream(socket.getInputStream());
    }

    HttpTestClient send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
        return this;
    }

    /** The head of the next response, its body in {@link #body}; null where it was closed. */
    String readResponse() throws IOException {
        String head = FakeHttpServer.readHead(input);
        if (head != null) {
            String length =
                    head.toLowerCase(Locale.ROOT).split("content-length: ")[1].split("\r\n")[0];
            body = input.readNBytes(Integer.parseInt(length));
        }
        return head;
    }

    /** As {@link #readResponse}, after a 100 Continue if one comes first. */
    String readResponseAfterContinue() throws IOException {
        input.mark(64);
        byte[] start = input.readNBytes(12);
        input.reset();
        if (new String(start, StandardCharsets.ISO_8859_1).endsWith("100")) {
            FakeHttpServer.readHead(input);
        }
        return readResponse();
    }

    int readStatus() throws IOException {
        return Integer.parseInt(readResponse().split(" ")[1]);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
