package loadbalancer.server;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Holds client connections that stay open until the group is closed. Used by the test's thread. */
final class HttpTestClientGroup implements Closeable {
    private final InetSocketAddress serverAddress;
    private final List<HttpTestClient> clients = new ArrayList<>();

    HttpTestClientGroup(InetSocketAddress serverAddress) {
        this.serverAddress = serverAddress;
    }

    /** Connects one more client and returns it. */
    HttpTestClient connect() throws IOException {
        HttpTestClient client = new HttpTestClient(serverAddress);
        clients.add(client);
        return client;
    }

    /** Connects {@code count} clients, which send nothing yet. */
    void connect(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            connect();
        }
    }

    /** Returns all clients in the order in which they connected. */
    List<HttpTestClient> clients() {
        return Collections.unmodifiableList(clients);
    }

    @Override
    public void close() throws IOException {
        for (HttpTestClient client : clients) {
            client.close();
        }
    }
}
