package junctionhead.lab.rules;

import java.util.ArrayList;
import java.util.List;

/**
 * One request as the lab's own parties saw it: a client's try, with every attempt at an upstream
 * that came of it. Kept by the loop that plays the world.
 */
public final class Call {
    private static final int NOTES_MOST = 64;

    /** An attempt that an upstream has taken, or is said to have. */
    public record Run(int server, int zone, long at) {}

    /** What one party saw. */
    public record Note(long at, String who, String what) {}

    private final String id;
    private final Order order;
    private final long deadline;
    private final List<Run> runs = new ArrayList<>(1);
    private final List<Note> notes = new ArrayList<>();
    private int balancer = -1;
    private long takenAt = -1;
    private int attempts;
    private boolean ended;

    /** {@code deadline}: µs from when it is sent until its client gives up. */
    public Call(String id, Order order, long deadline) {
        this.id = id;
        this.order = order;
        this.deadline = deadline;
    }

    public String id() {
        return id;
    }

    public Order order() {
        return order;
    }

    public long deadline() {
        return deadline;
    }

    public int balancer() {
        return balancer;
    }

    /** µs of the run at which its last byte was written to a balancer; -1: not yet. */
    public long takenAt() {
        return takenAt;
    }

    public boolean ended() {
        return ended;
    }

    public List<Run> runs() {
        return runs;
    }

    /** In order of time. */
    public List<Note> notes() {
        return notes;
    }

    /** Adds to its story; past a bound nothing is added. */
    public void note(long at, String who, String what) {
        if (notes.size() < NOTES_MOST) {
            notes.add(new Note(at, who, what));
        }
    }

    void taken(int by, long at) {
        balancer = by;
        takenAt = at;
    }

    int attempt() {
        return ++attempts;
    }

    void end() {
        ended = true;
    }
}
