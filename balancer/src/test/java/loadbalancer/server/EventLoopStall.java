package loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.TestAwait;

/**
 * Blocks an event loop until the test's thread releases it, so that the loop handles everything
 * that happened in between in one iteration.
 */
final class EventLoopStall {
    private static final long MAX_STALL_SECONDS = 30;
    private static final long TIMEOUT_MS = TestAwait.TIMEOUT.toMillis();

    private final CountDownLatch stalled = new CountDownLatch(1);
    private final CountDownLatch released = new CountDownLatch(1);
    private final CountDownLatch resumed = new CountDownLatch(1);

    /**
     * Blocks {@code eventLoop}, and returns once it is blocked. {@code onResume} runs on the loop
     * when it is released, before it reads from any connection.
     */
    EventLoopStall(EventLoop eventLoop, Runnable onResume) throws InterruptedException {
        eventLoop.execute(
                () -> {
                    stalled.countDown();
                    try {
                        // The wait is bounded so that the loop resumes even if the test fails.
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

    /** Releases the loop, and returns once {@code onResume} has run. */
    void release() throws InterruptedException {
        released.countDown();
        assertTrue(
                resumed.await(TIMEOUT_MS, TimeUnit.MILLISECONDS),
                "the event loop did not complete the task that runs at its release");
    }
}
