package loadbalancer.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import loadbalancer.proxy.ProxyRequestFixtures;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests how long a request stays in the table and when the table is idle. */
class RequestTableTest {
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final RequestTable requests =
            new RequestTable(channel.eventLoop(), RequestIds.inMemory());

    @AfterEach
    void close() {
        channel.finishAndReleaseAll();
    }

    private Exchange addRequest(long nowMicros) {
        Exchange exchange =
                requests.add(
                        ProxyRequestFixtures.getRequest("r1"),
                        new RecordingResponseSender(),
                        nowMicros);
        exchange.setFallbackTimer(channel.eventLoop().schedule(() -> {}, 1, TimeUnit.HOURS));
        return exchange;
    }

    @Test
    void requestsWithTheSameClientIdGetDistinctIds() {
        Exchange first = addRequest(0);
        Exchange second = addRequest(0);
        assertNotEquals(first.id(), second.id());
        assertSame(first, requests.find(first.id()));
        assertSame(second, requests.find(second.id()));
        assertEquals(2, requests.acceptedRequestCount());
    }

    @Test
    void deadlineCountsFromTheArrival() {
        assertEquals(
                1_000 + ProxyRequestFixtures.TIME_LEFT_MICROS, addRequest(1_000).deadlineMicros());
    }

    @Test
    void requestWithoutFinalResponseIsKept() {
        Exchange exchange = addRequest(0);
        requests.removeIfFinished(exchange);
        assertSame(exchange, requests.find(exchange.id()));
    }

    @Test
    void answeredRequestIsKeptUntilItsLastAttemptEnds() {
        Exchange exchange = addRequest(0);
        ExchangeAttempt attempt = exchange.addAttempt("s1", 0);
        exchange.settle();
        requests.removeIfFinished(exchange);
        assertSame(exchange, requests.find(exchange.id()));
        attempt.end();
        requests.removeIfFinished(exchange);
        assertNull(requests.find(exchange.id()));
    }

    @Test
    void senderIsToldOnceThatItsRequestIsNoLongerRetained() {
        Exchange exchange = addRequest(0);
        RecordingResponseSender sender = (RecordingResponseSender) exchange.responseSender();
        ExchangeAttempt attempt = exchange.addAttempt("s1", 0);
        exchange.settle();
        requests.removeIfFinished(exchange);
        assertEquals(0, sender.finishedCount());
        attempt.end();
        requests.removeIfFinished(exchange);
        requests.removeIfFinished(exchange);
        assertEquals(1, sender.finishedCount());
    }

    @Test
    void idleCallbackRunsAtOnceIfNoRequestIsPending() {
        AtomicInteger calls = new AtomicInteger();
        requests.whenIdle(calls::incrementAndGet);
        channel.runPendingTasks();
        assertEquals(1, calls.get());
    }

    @Test
    void idleCallbackRunsEachTimeTheLastPendingRequestIsSettled() {
        AtomicInteger calls = new AtomicInteger();
        addRequest(0);
        addRequest(0);
        requests.whenIdle(calls::incrementAndGet);
        requests.onResponseSettled();
        channel.runPendingTasks();
        assertEquals(0, calls.get());
        requests.onResponseSettled();
        channel.runPendingTasks();
        assertEquals(1, calls.get());
        addRequest(0);
        requests.onResponseSettled();
        channel.runPendingTasks();
        assertEquals(2, calls.get());
    }
}
