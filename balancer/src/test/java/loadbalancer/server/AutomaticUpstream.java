package loadbalancer.server;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * An upstream that answers each request by itself with 200. One daemon thread answers the requests
 * in the order in which they were received.
 */
final class AutomaticUpstream implements Closeable {
    /** Answers one request; may block, which delays the answers to later requests. */
    interface Responder {
        void respond(FakeHttpServer.ReceivedRequest request) throws IOException;
    }

    private final FakeHttpServer server = new FakeHttpServer();
    private final List<String> requestIds = new CopyOnWriteArrayList<>();
    private final Thread responderThread;

    AutomaticUpstream() throws IOException {
        this(request -> request.respond(200, "", "ok"));
    }

    AutomaticUpstream(Responder responder) throws IOException {
        responderThread = new Thread(() -> respondToAll(responder));
        responderThread.setDaemon(true);
        responderThread.start();
    }

    private void respondToAll(Responder responder) {
        try {
            while (true) {
                respondToNext(responder);
            }
        } catch (InterruptedException e) {
            // The upstream was closed.
            Thread.currentThread().interrupt();
        }
    }

    private void respondToNext(Responder responder) throws InterruptedException {
        FakeHttpServer.ReceivedRequest request = server.takeRequest();
        requestIds.add(String.valueOf(request.header("Req-Id")));
        try {
            responder.respond(request);
        } catch (IOException e) {
            // The balancer has closed this connection, as it may.
            requestIds.add(request.header("Req-Id") + " not answered");
        }
    }

    String address() {
        return server.address();
    }

    /** Returns the ids of the requests received so far, in order. */
    List<String> requestIds() {
        return List.copyOf(requestIds);
    }

    @Override
    public void close() throws IOException {
        responderThread.interrupt();
        server.close();
    }
}
