package loadbalancer.dispatch;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import loadbalancer.proxy.ProxyRequest;

/**
 * The requests that have no final response yet or have attempts in flight. Event loop thread only.
 */
final class RequestTable {
    private final EventLoop loop;
    private final Map<String, Exchange> exchanges = new HashMap<>();
    private long acceptedRequestCount;
    private int pendingRequestCount;
    private Runnable idleCallback;

    RequestTable(EventLoop loop) {
        this.loop = loop;
    }

    /** Enters a request, which arrived at {@code nowMicros}, under an id of its own. */
    Exchange add(ProxyRequest proxyRequest, ResponseSender responseSender, long nowMicros) {
        String requestId = Long.toString(++acceptedRequestCount, Character.MAX_RADIX);
        Exchange exchange =
                new Exchange(
                        requestId,
                        proxyRequest,
                        responseSender,
                        nowMicros + proxyRequest.timeLeftMicros());
        exchanges.put(requestId, exchange);
        pendingRequestCount++;
        return exchange;
    }

    /** The request of that id, or null where nothing of it is left. */
    Exchange find(String requestId) {
        return exchanges.get(requestId);
    }

    void removeIfFinished(Exchange exchange) {
        if (exchange.isFinished()) {
            exchanges.remove(exchange.id());
        }
    }

    /** One request's final response is no longer owed. */
    void onResponseSettled() {
        pendingRequestCount--;
        if (pendingRequestCount == 0 && idleCallback != null) {
            loop.execute(idleCallback);
        }
    }

    /**
     * Runs {@code callback} on the loop each time that no final response is owed, and now if so.
     */
    void whenIdle(Runnable callback) {
        idleCallback = callback;
        if (pendingRequestCount == 0) {
            loop.execute(callback);
        }
    }

    long acceptedRequestCount() {
        return acceptedRequestCount;
    }

    int pendingRequestCount() {
        return pendingRequestCount;
    }
}
