package loadbalancer.testbed.endpointmodel;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.PriorityQueue;
import loadbalancer.testbed.scenario.Scenario;

/**
 * The service model of an upstream: cores that work on one request each, a bounded queue in order
 * of arrival, and slow start after a start. A request is served at the speed that the upstream has
 * when its service begins. Used behind real sockets and by the simulation. Times are µs of the
 * caller's clock, which must not go back. Not thread-safe.
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
     * @param queueCapacity upper bound of queued requests
     * @param slowStartInitialFraction part of its capacity right after a start
     * @param slowStartWindowMicros time after a start until it has all of its capacity
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

    /** Creates a warm model with the scenario's settings and a speed beside 1. */
    public static EndpointModel of(Scenario.Upstreams settings, double speed) {
        return new EndpointModel(
                settings.cores(),
                settings.queueCapacity(),
                speed,
                settings.slowStartInitialFraction(),
                Math.round(settings.slowStartWindowS() * 1e6));
    }

    /** Starts it again, in slow start and without requests. */
    public void restart(long nowMicros) {
        running.clear();
        queue.clear();
        startedAtMicros = nowMicros;
    }

    /** Multiplies the time that requests take which start from now on; 1: normal. */
    public void slowdownFactor(double factor) {
        slowdownFactor = factor;
    }

    /** Whether it accepts requests without completing any. */
    public void hanging(boolean newHanging) {
        hanging = newHanging;
    }

    /** The part of its capacity that it has; 1 after slow start. */
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
     * Its present capacity in seconds of work at speed 1 per second, with slow start and slowdown.
     */
    public double capacity(long nowMicros) {
        return cores * speed * slowStartFraction(nowMicros) / slowdownFactor;
    }

    /** Accepts a request, or returns false if all cores and the queue are full. */
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

    /** Removes a request that is no longer waited for. */
    public void cancel(long nowMicros, Job job) {
        if (running.remove(job)) {
            startQueued(nowMicros);
        } else {
            queue.remove(job);
        }
    }

    /** When the next request completes; {@link Long#MAX_VALUE}: none does. */
    public long nextCompletionMicros() {
        return hanging || running.isEmpty() ? Long.MAX_VALUE : running.peek().endsAtMicros();
    }

    /** Removes a request that has completed by now and returns it, or null if there is none. */
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

    /** Requests that are running or queued. */
    public int inFlight() {
        return running.size() + queue.size();
    }
}
