package loadbalancer.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.ProxyRequestFixtures;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the timeout and the latency of an attempt, and the effect of its end on its request. */
class ExchangeAttemptTest {
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final Exchange exchange =
            new Exchange(
                    "1",
                    ProxyRequestFixtures.getRequest("r1"),
                    new RecordingResponseSender(),
                    ProxyRequestFixtures.TIME_LEFT_MICROS);
    private final ExchangeAttempt attempt = exchange.addAttempt("s1", 1_000);

    @AfterEach
    void close() {
        channel.finishAndReleaseAll();
    }

    private Future<?> startTimeout() {
        Future<?> timeoutTask = channel.eventLoop().schedule(() -> {}, 1, TimeUnit.HOURS);
        attempt.setTimeoutTask(timeoutTask);
        return timeoutTask;
    }

    @Test
    void attemptsAreNumberedWithinTheirRequest() {
        assertEquals(0, attempt.number());
        assertEquals(1, exchange.addAttempt("s2", 2_000).number());
    }

    @Test
    void endCancelsTheTimeout() {
        Future<?> timeoutTask = startTimeout();
        attempt.end();
        assertTrue(timeoutTask.isCancelled());
        assertTrue(attempt.hasEnded());
    }

    @Test
    void cancelledTimeoutDoesNotEndTheAttempt() {
        Future<?> timeoutTask = startTimeout();
        attempt.cancelTimeout();
        assertTrue(timeoutTask.isCancelled());
        assertFalse(attempt.hasEnded());
    }

    @Test
    void attemptWithoutTimeoutCanEnd() {
        attempt.end();
        assertTrue(attempt.hasEnded());
    }

    @Test
    void requestHasAttemptsInFlightUntilTheLastHasEnded() {
        ExchangeAttempt hedgedAttempt = exchange.addAttempt("s2", 2_000);
        attempt.end();
        assertTrue(exchange.hasAttemptsInFlight());
        hedgedAttempt.end();
        assertFalse(exchange.hasAttemptsInFlight());
    }

    @Test
    void latencyCountsFromTheStart() {
        assertEquals(500, attempt.latencyMicros(1_500));
    }

    @Test
    void latencyCountsFromTheEndOfTheUpload() {
        attempt.restart(9_000);
        assertEquals(500, attempt.latencyMicros(9_500));
    }

    /** The pool may report the end of the attempt before it has returned the upstream request. */
    @Test
    void attemptWithoutUpstreamRequestCannotHaveRun() {
        assertFalse(attempt.abandonUpstreamRequest());
    }
}
