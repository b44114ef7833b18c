package loadbalancer.dispatch;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import loadbalancer.proxy.ProxyRequest;
import loadbalancer.util.Exceptions;

/**
 * Holds the requests that have no final response yet or have attempts in flight. Event loop thread
 * only.
 */
final class RequestTable {
    private final EventLoop loop;
    private final RequestIds ids;
    private final Map<String, Exchange> exchanges = new HashMap<>();
    private long acceptedRequestCount;
    private int pendingRequestCount;
    private Runnable idleCallback;

    RequestTable(EventLoop loop, RequestIds ids) {
        this.loop = loop;
        this.ids = ids;
    }

    /** Adds a request, which arrived at {@code nowMicros}, under a new unique id. */
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

    /**
     * Claims the client's id of a request that must not run twice.
     *
     * @return the claim, or {@link RequestIds#ALREADY_CLAIMED} if a request with that id may have
     *     run
     */
    int claimId(ProxyRequest proxyRequest) {
        return ids.claim(proxyRequest.clientRequestId());
    }

    /** Returns the request with that id, or null if it has been removed. */
    Exchange find(String requestId) {
        return exchanges.get(requestId);
    }

    /** Removes a request that needs nothing more, and frees what it retains. */
    void removeIfFinished(Exchange exchange) {
        if (exchange.isFinished() && exchanges.remove(exchange.id()) != null) {
            Exceptions.runAll(
                    exchange::discardUpload,
                    () -> releaseIdUnlessRun(exchange),
                    exchange.responseSender()::onRequestFinished);
        }
    }

    private void releaseIdUnlessRun(Exchange exchange) {
        if (exchange.idClaim() != Exchange.NO_CLAIM && !exchange.mayHaveRun()) {
            ids.release(exchange.idClaim(), exchange.proxyRequest().clientRequestId());
        }
    }

    /** Records that a pending request has been settled. */
    void onResponseSettled() {
        pendingRequestCount--;
        if (pendingRequestCount == 0 && idleCallback != null) {
            loop.execute(idleCallback);
        }
    }

    /**
     * Runs {@code callback} on the event loop each time the last pending request is settled, and
     * now if no request is pending.
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
