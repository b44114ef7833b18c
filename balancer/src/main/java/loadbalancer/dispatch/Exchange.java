package loadbalancer.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import loadbalancer.proxy.BodyRelay;
import loadbalancer.proxy.ProxyRequest;

/** A request that has been taken, and its attempts. */
final class Exchange {
    final String id;
    final ProxyRequest proxyRequest;
    final ResponseSender responseSender;
    long deadlineMicros;
    final List<ExchangeAttempt> attempts = new ArrayList<>(2);
    int attemptsInFlight;
    // Its body is still coming: its time has not begun
    boolean uploading;
    boolean closed;
    // Whose long answer is the final one, or null
    ExchangeAttempt streamingAttempt;
    // That answer, now
    boolean streaming;
    // The way that it goes
    BodyRelay responseBody;
    Future<?> fallbackTimer;

    Exchange(
            String id,
            ProxyRequest proxyRequest,
            ResponseSender responseSender,
            long deadlineMicros) {
        this.id = id;
        this.proxyRequest = proxyRequest;
        this.responseSender = responseSender;
        this.deadlineMicros = deadlineMicros;
    }
}
