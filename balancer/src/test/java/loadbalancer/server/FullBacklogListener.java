package loadbalancer.server;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import loadbalancer.TestAwait;

/**
 * A listener whose backlog is full: a connection to it is established only once the test accepts.
 */
public final class FullBacklogListener implements Closeable {
    private static final int MAX_BACKLOG = 50;
    // Without room in the backlog the system drops the connect, which then times out.
    private static final int CONNECT_TIMEOUT_MS = 300;
    private static final int TIMEOUT_MS = (int) TestAwait.TIMEOUT.toMillis();

    private final ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();

    public FullBacklogListener() throws IOException {
        while (fillBacklog()) {
            if (sockets.size() > MAX_BACKLOG) {
                throw new IOException(
                        "the backlog is not full after " + sockets.size() + " connections");
            }
        }
    }

    private boolean fillBacklog() throws IOException {
        Socket socket = new Socket();
        try {
            socket.connect(listener.getLocalSocketAddress(), CONNECT_TIMEOUT_MS);
            sockets.add(socket);
            return true;
        } catch (SocketTimeoutException e) {
            socket.close();
            return false;
        }
    }

    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Accepts all that wait, and returns the first connection that is not its own. */
    public Socket acceptNext() throws IOException {
        for (int i = sockets.size(); i > 0; i--) {
            sockets.add(listener.accept());
        }
        listener.setSoTimeout(TIMEOUT_MS);
        Socket socket = listener.accept();
        socket.setSoTimeout(TIMEOUT_MS);
        sockets.add(socket);
        return socket;
    }

    /** The number of connections that fill the backlog: the first that are accepted. */
    int backlogSize() {
        return sockets.size();
    }

    /** Accepts all connections from now on; they are in the queue in the order of their accept. */
    BlockingQueue<Socket> acceptInBackground() {
        BlockingQueue<Socket> accepted = new LinkedBlockingQueue<>();
        Thread acceptor =
                new Thread(
                        () -> {
                            try {
                                while (true) {
                                    Socket socket = listener.accept();
                                    socket.setSoTimeout(TIMEOUT_MS);
                                    sockets.add(socket);
                                    accepted.add(socket);
                                }
                            } catch (IOException e) {
                                // The listener is closed.
                                Thread.currentThread().interrupt();
                            }
                        });
        acceptor.setDaemon(true);
        acceptor.start();
        return accepted;
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
