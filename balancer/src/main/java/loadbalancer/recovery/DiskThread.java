package loadbalancer.recovery;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

/**
 * Runs all operations that may block on the disk on one daemon thread, one after another, so that
 * the event loop never blocks. Owned by a {@link RecoveryStore}, which closes it.
 */
final class DiskThread implements AutoCloseable {
    private static final long SHUTDOWN_TIMEOUT_MS = 1_000;

    private final ExecutorService executor =
            Executors.newSingleThreadExecutor(
                    task -> {
                        Thread thread = new Thread(task, "state");
                        thread.setDaemon(true);
                        return thread;
                    });

    /** Queues a task, or drops it after {@link #close}. Any thread may call this. */
    void execute(Runnable task) {
        try {
            executor.execute(task);
        } catch (RejectedExecutionException e) {
            // The executor is shut down only when the process ends.
            return;
        }
    }

    /** Stops the thread after waiting up to one second for the queued tasks. */
    @Override
    public void close() {
        executor.shutdown();
        try {
            executor.awaitTermination(SHUTDOWN_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
