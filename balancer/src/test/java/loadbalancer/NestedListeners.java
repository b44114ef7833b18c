package loadbalancer;

import io.netty.util.concurrent.DefaultPromise;
import io.netty.util.concurrent.ImmediateEventExecutor;
import io.netty.util.concurrent.Promise;
import java.util.concurrent.CompletableFuture;

/** Runs code within nested listeners, as deep as Netty runs listeners immediately. */
public final class NestedListeners {
    /** Netty's limit; listeners that would be nested more deeply run in a later task. */
    private static final int MAX_DEPTH = 8;

    private NestedListeners() {}

    /** Runs {@code action} and throws what it throws; listeners that it triggers are deferred. */
    public static void runAtMaxDepth(Runnable action) {
        CompletableFuture<Void> result = new CompletableFuture<>();
        run(() -> result.completeAsync(() -> runAndReturnNull(action), Runnable::run), MAX_DEPTH);
        result.join();
    }

    private static Void runAndReturnNull(Runnable action) {
        action.run();
        return null;
    }

    private static void run(Runnable action, int remainingDepth) {
        if (remainingDepth == 0) {
            action.run();
            return;
        }
        Promise<Void> promise = new DefaultPromise<>(ImmediateEventExecutor.INSTANCE);
        promise.addListener(done -> run(action, remainingDepth - 1));
        promise.setSuccess(null);
    }
}
