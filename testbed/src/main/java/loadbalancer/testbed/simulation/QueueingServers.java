package loadbalancer.testbed.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * The fast and slow servers of {@link JsqDasExperiment}. Each server serves one job at a time in
 * order of arrival, with exponential service times. The fast servers have the lowest numbers. Used
 * only by the thread that runs the simulation.
 */
final class QueueingServers {
    static final double MICROS_PER_SECOND = 1e6;

    // Service rates in jobs per second, from the JSQ-DAS paper.
    private static final double FAST_SERVICE_RATE = 1.95;
    private static final double SLOW_SERVICE_RATE = 0.6;
    private static final double FAST_FRACTION = 0.3;

    private final VirtualTimeScheduler scheduler;
    private final ZigguratSampler.Exponential unitExponential;
    private final int fastCount;
    private final List<Deque<QueuedJob>> queues = new ArrayList<>();
    private final long[] dispatchCounts;
    // The first completed job, counted from 1, whose response time is measured.
    private final int firstMeasuredJob;
    private double responseTimeSumMicros;
    private int completedJobs;

    private record QueuedJob(long arrivedAtMicros, Runnable onCompletion) {}

    /**
     * Creates idle servers.
     *
     * @param warmUpJobs completed jobs whose response times are left out of the sum
     */
    QueueingServers(
            int count,
            int warmUpJobs,
            VirtualTimeScheduler scheduler,
            UniformRandomProvider random) {
        this.scheduler = scheduler;
        this.unitExponential = ZigguratSampler.Exponential.of(random, 1);
        this.fastCount = (int) Math.round(FAST_FRACTION * count);
        this.dispatchCounts = new long[count];
        this.firstMeasuredJob = warmUpJobs + 1;
        for (int server = 0; server < count; server++) {
            queues.add(new ArrayDeque<>());
        }
    }

    int count() {
        return queues.size();
    }

    int fastCount() {
        return fastCount;
    }

    /** Returns whether a server is fast. */
    boolean isFast(int server) {
        return server < fastCount;
    }

    /** Returns the service rate of a server in jobs per second. */
    double serviceRate(int server) {
        return isFast(server) ? FAST_SERVICE_RATE : SLOW_SERVICE_RATE;
    }

    /** Returns the number of jobs at a server, including the one in service. */
    int queueLength(int server) {
        return queues.get(server).size();
    }

    /** Returns the number of jobs that were sent to a server. */
    long dispatchCount(int server) {
        return dispatchCounts[server];
    }

    int completedJobs() {
        return completedJobs;
    }

    /** Returns the sum of the response times in µs of all jobs that completed after the warm-up. */
    double responseTimeSumMicros() {
        return responseTimeSumMicros;
    }

    /** Draws an exponentially distributed time in µs for a rate per second. */
    long drawExponentialMicros(double ratePerSecond) {
        return (long) (unitExponential.sample() / ratePerSecond * MICROS_PER_SECOND);
    }

    /** Sends a job to a server; {@code onCompletion} runs when the job completes. */
    void enqueue(int server, Runnable onCompletion) {
        dispatchCounts[server]++;
        queues.get(server).add(new QueuedJob(scheduler.nowMicros(), onCompletion));
        if (queueLength(server) == 1) {
            startService(server);
        }
    }

    private void startService(int server) {
        scheduler.scheduleAfter(
                drawExponentialMicros(serviceRate(server)), () -> completeJob(server));
    }

    private void completeJob(int server) {
        QueuedJob job = queues.get(server).poll();
        completedJobs++;
        if (completedJobs >= firstMeasuredJob) {
            responseTimeSumMicros += scheduler.nowMicros() - job.arrivedAtMicros;
        }
        if (queueLength(server) > 0) {
            startService(server);
        }
        job.onCompletion.run();
    }
}
