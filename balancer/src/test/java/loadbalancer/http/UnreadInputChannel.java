package loadbalancer.http;

import io.netty.channel.nio.AbstractNioChannel;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.util.ArrayDeque;
import java.util.Deque;
import loadbalancer.DeferredTasksChannel;

/** A channel whose receive buffer is filled by the test; each read call takes one batch. */
final class UnreadInputChannel extends DeferredTasksChannel {
    private static final int MAX_ACTIVE_CHECKS = 10_000;

    private final Deque<Runnable> unreadBatches = new ArrayDeque<>();
    private int readCalls;
    private int activeChecks;

    /** Fails the test rather than let it wait for a closed channel forever. */
    @Override
    public boolean isActive() {
        activeChecks++;
        if (activeChecks > MAX_ACTIVE_CHECKS) {
            throw new AssertionError("isActive() called " + activeChecks + " times");
        }
        return super.isActive();
    }

    @Override
    public Unsafe unsafe() {
        Unsafe embedded = super.unsafe();
        return (Unsafe)
                Proxy.newProxyInstance(
                        getClass().getClassLoader(),
                        new Class<?>[] {AbstractNioChannel.NioUnsafe.class},
                        (proxy, method, arguments) -> {
                            if (method.getName().equals("read")) {
                                readBatch();
                                return null;
                            }
                            try {
                                return method.invoke(embedded, arguments);
                            } catch (InvocationTargetException e) {
                                throw e.getCause();
                            }
                        });
    }

    /** Returns the number of read calls. */
    int readCalls() {
        return readCalls;
    }

    private void readBatch() {
        readCalls++;
        Runnable batch = unreadBatches.poll();
        if (batch != null) {
            batch.run();
        } else {
            pipeline().fireChannelReadComplete();
        }
    }

    /** Adds a batch of {@code messageCount} messages. */
    void addBatch(int messageCount) {
        unreadBatches.add(
                () -> {
                    for (int i = 0; i < messageCount; i++) {
                        pipeline().fireChannelRead("message");
                    }
                    pipeline().fireChannelReadComplete();
                });
    }

    /** Adds a batch in which the client's close is read. */
    void addClose() {
        unreadBatches.add(() -> super.unsafe().close(newPromise()));
    }
}
