package junctionhead.lab.model;

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
public final class ServerModel {
    private static final Comparator<Job> BY_END =
            Comparator.<Job>comparingLong(Job::endsAt).thenComparingLong(Job::number);

    private final int cores;
    private final int waiting;
    private final double speed;
    private final double coldFrom;
    private final long ramp;
    private final PriorityQueue<Job> working = new PriorityQueue<>(BY_END);
    private final Deque<Job> queue = new ArrayDeque<>();
    private long bootAt = Long.MIN_VALUE;
    private double slower = 1;
    private boolean hanging;

    /**
     * Makes a warm server.
     *
     * @param waiting requests that wait at most
     * @param coldFrom part of its capacity right after a start
     * @param ramp µs until it has all of it
     */
    public ServerModel(int cores, int waiting, double speed, double coldFrom, long ramp) {
        this.cores = cores;
        this.waiting = waiting;
        this.speed = speed;
        this.coldFrom = coldFrom;
        this.ramp = ramp;
    }

    /** Starts it anew: cold, and without any request. */
    public void boot(long now) {
        working.clear();
        queue.clear();
        bootAt = now;
    }

    public void slower(double times) {
        slower = times;
    }

    /** From here on it takes requests and ends none, until told otherwise. */
    public void hanging(boolean on) {
        hanging = on;
    }

    /** The part of its capacity that it has, 1 once warm. */
    public double warmth(long now) {
        if (bootAt == Long.MIN_VALUE || now - bootAt >= ramp) {
            return 1;
        }
        return coldFrom + (1 - coldFrom) * (now - bootAt) / ramp;
    }

    /** Work that it can do now, in seconds of a core of speed 1 a second; what slows it counts. */
    public double capacity(long now) {
        return cores * speed * warmth(now) / slower;
    }

    /** Takes a request, or turns it away: false. */
    public boolean arrive(long now, Job job) {
        if (working.size() < cores) {
            begin(now, job);
        } else if (queue.size() < waiting) {
            queue.add(job);
        } else {
            return false;
        }
        return true;
    }

    private void begin(long now, Job job) {
        job.endsAt(now + Math.max(1, Math.round(job.work() * slower / (speed * warmth(now)))));
        working.add(job);
    }

    /** Stops work on a request that nobody waits for any longer. */
    public void cancel(long now, Job job) {
        if (working.remove(job)) {
            refill(now);
        } else {
            queue.remove(job);
        }
    }

    /** When the next request ends; {@link Long#MAX_VALUE}: none will. */
    public long nextEnd() {
        return hanging || working.isEmpty() ? Long.MAX_VALUE : working.peek().endsAt();
    }

    /** Takes out a request that has ended by now, or returns null. */
    public Job ended(long now) {
        if (nextEnd() > now) {
            return null;
        }
        Job done = working.poll();
        refill(Math.max(done.endsAt(), Math.min(now, done.endsAt() + 1)));
        return done;
    }

    private void refill(long now) {
        while (working.size() < cores && !queue.isEmpty()) {
            begin(now, queue.poll());
        }
    }

    /** Requests that it holds. */
    public int held() {
        return working.size() + queue.size();
    }
}
