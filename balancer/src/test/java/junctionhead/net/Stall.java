package junctionhead.net;

import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Holds a balancer's loop, so that all that happens until it goes on meets in one turn of it. */
final class Stall {
    private final CountDownLatch held = new CountDownLatch(1);
    private final CountDownLatch released = new CountDownLatch(1);
    private final CountDownLatch done = new CountDownLatch(1);

    /**
     * Returns once the loop stands still; {@code then} runs on it when it goes on, before it reads
     * again.
     */
    Stall(EventLoop loop, Runnable then) throws InterruptedException {
        loop.execute(
                () -> {
                    held.countDown();
                    try {
                        // A test that fails meanwhile must end, too
                        released.await(30, TimeUnit.SECONDS);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                    then.run();
                    done.countDown();
                });
        held.await();
    }

    Stall(EventLoop loop) throws InterruptedException {
        this(loop, () -> {});
    }

    /** Lets the loop go on; returns when {@code then} has run. */
    void release() throws InterruptedException {
        released.countDown();
        done.await();
    }
}
