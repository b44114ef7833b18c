package loadbalancer.testbed.endpointmodel;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.PriorityQueue;

/**
 * What a server does with its requests, without sockets or clock of its own: cores that work on one
 * request each, a waiting room in order of arrival, and a capacity that grows after a start. A
 * request keeps the speed that the server has when work on it begins. Driven by real stand-ins and
 * by the simulated fleet alike. Times are µs of the caller's clock, which never goes back.
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
     * Makes a warm server.
     *
     * @param queueCapacity requests that wait at most
     * @param slowStartInitialFraction part of its capacity right after a start
     * @param slowStartWindowMicros µs until it has all of it
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

    /** Starts it anew: cold, and without any request. */
    public void restart(long nowMicros) {
        running.clear();
        queue.clear();
        startedAtMicros = nowMicros;
    }

    public void slowdownFactor(double factor) {
        slowdownFactor = factor;
    }

    /** From here on it takes requests and ends none, until told otherwise. */
    public void hanging(boolean newValue) {
        hanging = newValue;
    }

    /** The part of its capacity that it has, 1 once warm. */
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

    /** Work that it can do now, in seconds of a core of speed 1 a second; what slows it counts. */
    public double capacity(long nowMicros) {
        return cores * speed * slowStartFraction(nowMicros) / slowdownFactor;
    }

    /** Takes a request, or turns it away: false. */
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
        job.endsAtMicros(
                nowMicros
                        + Math.max(
                                1,
                                Math.round(
                                        job.workMicros()
                                                * slowdownFactor
                                                / (speed * slowStartFraction(nowMicros)))));
        running.add(job);
    }

    /** Stops work on a request that nobody waits for any longer. */
    public void cancel(long nowMicros, Job job) {
        if (running.remove(job)) {
            startQueued(nowMicros);
        } else {
            queue.remove(job);
        }
    }

    /** When the next request ends; {@link Long#MAX_VALUE}: none will. */
    public long nextCompletionMicros() {
        return hanging || running.isEmpty() ? Long.MAX_VALUE : running.peek().endsAtMicros();
    }

    /** Takes out a request that has ended by now, or returns null. */
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

    /** Requests that it holds. */
    public int inFlight() {
        return running.size() + queue.size();
    }
}
