package loadbalancer.recovery;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

/**
 * The daemon thread on which all operations of a process that may wait for the disk run, one after
 * another, so that the event loop never does. Owned by a {@link RecoveryStore}, which closes it.
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

    /** Runs a task after those before it; drops it once this is closed. Any thread. */
    void execute(Runnable task) {
        try {
            executor.execute(task);
        } catch (RejectedExecutionException e) {
            // Closed: the process is ending.
            return;
        }
    }

    /** Ends the thread; waits up to a second for the tasks that are queued. */
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
