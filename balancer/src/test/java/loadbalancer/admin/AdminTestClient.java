package loadbalancer.admin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import loadbalancer.TestAwait;

/** Calls the administration endpoint. */
public final class AdminTestClient {
    private AdminTestClient() {}

    /**
     * Sends one or more lines; returns everything that the endpoint sends before it closes the
     * connection.
     */
    public static String call(InetSocketAddress address, String lines) throws IOException {
        try (Socket socket = connect(address)) {
            write(socket, lines);
            return readToEnd(socket);
        }
    }

    static Socket connect(InetSocketAddress address) throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout((int) TestAwait.TIMEOUT.toMillis());
        return socket;
    }

    static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
    }

    static String readToEnd(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
}
