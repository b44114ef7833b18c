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
 * Listens with a full backlog, so that further connections to it are established only once the test
 * accepts. Used by the test's thread; {@link #acceptInBackground} starts an acceptor thread.
 */
public final class FullBacklogListener implements Closeable {
    private static final int MAX_BACKLOG = 50;
    // The system drops a connect to a full backlog, so that the connect times out.
    private static final int CONNECT_TIMEOUT_MS = 300;
    private static final int TIMEOUT_MS = (int) TestAwait.TIMEOUT.toMillis();

    private final ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();

    public FullBacklogListener() throws IOException {
        while (addToBacklog()) {
            if (sockets.size() > MAX_BACKLOG) {
                throw new IOException(
                        "the backlog is not full after " + sockets.size() + " connections");
            }
        }
    }

    /** Connects once more; returns false if the backlog is full. */
    private boolean addToBacklog() throws IOException {
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

    /**
     * Accepts the connections that fill the backlog, then the first connection of another client,
     * and returns the latter.
     */
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

    /** Returns the number of connections that fill the backlog; they are accepted first. */
    int backlogSize() {
        return sockets.size();
    }

    /**
     * Starts a thread that accepts all connections from now on. Returns the queue to which it adds
     * them in the order in which they are accepted.
     */
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
                                // The listener was closed.
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
