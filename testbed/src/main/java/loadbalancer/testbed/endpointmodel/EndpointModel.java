package loadbalancer.testbed.endpointmodel;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.PriorityQueue;
import loadbalancer.testbed.scenario.Scenario;

/**
 * Models how an upstream serves requests: each core serves one request at a time, others wait in a
 * bounded FIFO queue, and a restart is followed by slow start. The speed of the upstream when
 * service of a request begins determines the service time. Used behind real sockets and by the
 * simulation. Times are µs of the caller's clock, which must not go backwards. Not thread-safe.
 */
public final class EndpointModel {
    private static final Comparator<Job> BY_COMPLETION =
            Comparator.<Job>comparingLong(Job::endsAtMicros).thenComparingLong(Job::sequence);

    private final int cores;
    private final int queueCapacity;
    private final double speed;
    private final double slowStartInitialFraction;
    private final long slowStartWindowMicros;
    private final PriorityQueue<Job> running = new PriorityQueue<>(BY_COMPLETION);
    private final Deque<Job> queue = new ArrayDeque<>();
    private long startedAtMicros = Long.MIN_VALUE;
    private double slowdownFactor = 1;
    private boolean hanging;

    /**
     * Creates a model that is not in slow start.
     *
     * @param cores number of requests that are served at the same time
     * @param queueCapacity maximum number of queued requests
     * @param speed work per core in seconds per second, after slow start
     * @param slowStartInitialFraction fraction of the capacity right after a restart
     * @param slowStartWindowMicros time in µs from a restart until full capacity
     */
    public EndpointModel(
            int cores,
            int queueCapacity,
            double speed,
            double slowStartInitialFraction,
            long slowStartWindowMicros) {
        this.cores = cores;
        this.queueCapacity = queueCapacity;
        this.speed = speed;
        this.slowStartInitialFraction = slowStartInitialFraction;
        this.slowStartWindowMicros = slowStartWindowMicros;
    }

    /** Creates a model that is not in slow start, with the scenario's settings and a speed. */
    public static EndpointModel of(Scenario.Upstreams settings, double speed) {
        return new EndpointModel(
                settings.cores(),
                settings.queueCapacity(),
                speed,
                settings.slowStartInitialFraction(),
                Math.round(settings.slowStartWindowS() * 1e6));
    }

    /** Restarts the upstream: drops all requests and begins slow start. */
    public void restart(long nowMicros) {
        running.clear();
        queue.clear();
        startedAtMicros = nowMicros;
    }

    /** Sets the factor of the service time of requests that start from now on; 1 is normal. */
    public void setSlowdownFactor(double factor) {
        slowdownFactor = factor;
    }

    /** Sets whether the upstream accepts requests without completing any. */
    public void setHanging(boolean newHanging) {
        hanging = newHanging;
    }

    /** Returns the fraction of the full capacity; 1 after slow start. */
    public double slowStartFraction(long nowMicros) {
        if (startedAtMicros == Long.MIN_VALUE
                || nowMicros - startedAtMicros >= slowStartWindowMicros) {
            return 1;
        }
        return slowStartInitialFraction
                + (1 - slowStartInitialFraction)
                        * (nowMicros - startedAtMicros)
                        / slowStartWindowMicros;
    }

    /**
     * Returns the current capacity in seconds of work at speed 1 per second, reduced by slow start
     * and slowdown.
     */
    public double capacity(long nowMicros) {
        return cores * speed * slowStartFraction(nowMicros) / slowdownFactor;
    }

    /** Accepts a request, or returns false if all cores are busy and the queue is full. */
    public boolean tryAccept(long nowMicros, Job job) {
        if (running.size() < cores) {
            start(nowMicros, job);
        } else if (queue.size() < queueCapacity) {
            queue.add(job);
        } else {
            return false;
        }
        return true;
    }

    private void start(long nowMicros, Job job) {
        double currentSpeed = speed * slowStartFraction(nowMicros);
        long serviceMicros = Math.round(job.workMicros() * slowdownFactor / currentSpeed);
        job.endsAtMicros(nowMicros + Math.max(1, serviceMicros));
        running.add(job);
    }

    /** Removes a request that its client no longer waits for. */
    public void cancel(long nowMicros, Job job) {
        if (running.remove(job)) {
            startQueued(nowMicros);
        } else {
            queue.remove(job);
        }
    }

    /** Returns when the next request completes, or {@link Long#MAX_VALUE} if none does. */
    public long nextCompletionMicros() {
        return hanging || running.isEmpty() ? Long.MAX_VALUE : running.peek().endsAtMicros();
    }

    /** Removes and returns a request that has completed, or returns null if there is none. */
    public Job pollCompleted(long nowMicros) {
        if (nextCompletionMicros() > nowMicros) {
            return null;
        }
        Job completed = running.poll();
        startQueued(
                Math.max(
                        completed.endsAtMicros(),
                        Math.min(nowMicros, completed.endsAtMicros() + 1)));
        return completed;
    }

    private void startQueued(long nowMicros) {
        while (running.size() < cores && !queue.isEmpty()) {
            start(nowMicros, queue.poll());
        }
    }

    /** Returns the number of requests that are running or queued. */
    public int inFlight() {
        return running.size() + queue.size();
    }
}
