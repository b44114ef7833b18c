package loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.TestAwait;

/**
 * Blocks an event loop until it is released, so that the loop handles all that happens meanwhile in
 * one iteration.
 */
final class EventLoopStall {
    private static final long MAX_STALL_SECONDS = 30;
    private static final long TIMEOUT_MS = TestAwait.TIMEOUT.toMillis();

    private final CountDownLatch stalled = new CountDownLatch(1);
    private final CountDownLatch released = new CountDownLatch(1);
    private final CountDownLatch resumed = new CountDownLatch(1);

    /**
     * Returns once the loop is blocked; {@code onResume} runs on it when it is released, before it
     * reads again.
     */
    EventLoopStall(EventLoop eventLoop, Runnable onResume) throws InterruptedException {
        eventLoop.execute(
                () -> {
                    stalled.countDown();
                    try {
                        // A bound, so that a test that fails meanwhile ends.
                        released.await(MAX_STALL_SECONDS, TimeUnit.SECONDS);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                    onResume.run();
                    resumed.countDown();
                });
        assertTrue(
                stalled.await(TIMEOUT_MS, TimeUnit.MILLISECONDS),
                "the event loop is not blocked: it did not run the task that blocks it");
    }

    EventLoopStall(EventLoop eventLoop) throws InterruptedException {
        this(eventLoop, () -> {});
    }

    /** Releases the loop; returns when {@code onResume} has run. */
    void release() throws InterruptedException {
        released.countDown();
        assertTrue(
                resumed.await(TIMEOUT_MS, TimeUnit.MILLISECONDS),
                "the event loop did not complete the task that runs at its release");
    }
}
