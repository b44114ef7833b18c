package junctionhead.net;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;

/**
 * An upstream whose connections come up only once the test lets them: its queue of waiting ones is
 * full.
 */
final class ClosedDoor implements Closeable {
    private final ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final List<Socket> sockets = new ArrayList<>();

    ClosedDoor() throws IOException {
        while (fill()) {
            if (sockets.size() > 50) {
                throw new IOException("the queue never fills");
            }
        }
    }

    private boolean fill() throws IOException {
        Socket socket = new Socket();
        try {
            socket.connect(server.getLocalSocketAddress(), 300);
            sockets.add(socket);
            return true;
        } catch (SocketTimeoutException e) {
            socket.close();
            return false;
        }
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Lets all that wait in, and returns the first that is not one of its own. */
    Socket open() throws IOException {
        for (int i = sockets.size(); i > 0; i--) {
            sockets.add(server.accept());
        }
        server.setSoTimeout(20_000);
        Socket socket = server.accept();
        socket.setSoTimeout(20_000);
        sockets.add(socket);
        return socket;
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
