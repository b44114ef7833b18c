package loadbalancer.server;

import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Blocks an event loop, so that all that happens until it is released meets in one turn of it. */
final class EventLoopStall {
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
                        released.await(30, TimeUnit.SECONDS);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                    onResume.run();
                    resumed.countDown();
                });
        stalled.await();
    }

    EventLoopStall(EventLoop eventLoop) throws InterruptedException {
        this(eventLoop, () -> {});
    }

    /** Releases the loop; returns when {@code onResume} has run. */
    void release() throws InterruptedException {
        released.countDown();
        resumed.await();
    }
}
