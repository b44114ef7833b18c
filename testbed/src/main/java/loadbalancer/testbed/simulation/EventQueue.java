package loadbalancer.testbed.simulation;

import java.util.Arrays;

/**
 * A priority queue of events, ordered by time and sequence number. It is a heap with four children
 * per node in plain arrays, because a fleet of thousands of balancers has a million events queued.
 * Used only by the thread that runs the simulation.
 */
final class EventQueue {
    private static final int CHILDREN_PER_NODE = 4;
    private static final int INITIAL_CAPACITY = 1 << 12;

    private long[] timesMicros = new long[INITIAL_CAPACITY];
    private long[] sequences = new long[INITIAL_CAPACITY];
    private Runnable[] events = new Runnable[INITIAL_CAPACITY];
    private int size;

    boolean isEmpty() {
        return size == 0;
    }

    /** Returns the time of the first event in µs; undefined if the queue is empty. */
    long nextTimeMicros() {
        return timesMicros[0];
    }

    void add(long timeMicros, long sequence, Runnable event) {
        if (size == timesMicros.length) {
            timesMicros = Arrays.copyOf(timesMicros, 2 * size);
            sequences = Arrays.copyOf(sequences, 2 * size);
            events = Arrays.copyOf(events, 2 * size);
        }
        int index = size++;
        while (index > 0 && isBefore(timeMicros, sequence, (index - 1) / CHILDREN_PER_NODE)) {
            move((index - 1) / CHILDREN_PER_NODE, index);
            index = (index - 1) / CHILDREN_PER_NODE;
        }
        set(index, timeMicros, sequence, event);
    }

    /** Removes the first event and returns it. */
    Runnable poll() {
        Runnable first = events[0];
        size--;
        long timeMicros = timesMicros[size];
        long sequence = sequences[size];
        Runnable last = events[size];
        events[size] = null;
        int index = 0;
        for (int child = minChild(0);
                child >= 0 && !isBefore(timeMicros, sequence, child);
                child = minChild(index)) {
            move(child, index);
            index = child;
        }
        if (size > 0) {
            set(index, timeMicros, sequence, last);
        }
        return first;
    }

    private int minChild(int parent) {
        int firstChild = parent * CHILDREN_PER_NODE + 1;
        if (firstChild >= size) {
            return -1;
        }
        int min = firstChild;
        for (int child = firstChild + 1;
                child < Math.min(size, firstChild + CHILDREN_PER_NODE);
                child++) {
            min = isBefore(timesMicros[child], sequences[child], min) ? child : min;
        }
        return min;
    }

    private boolean isBefore(long timeMicros, long sequence, int other) {
        return timeMicros < timesMicros[other]
                || (timeMicros == timesMicros[other] && sequence < sequences[other]);
    }

    private void move(int from, int to) {
        set(to, timesMicros[from], sequences[from], events[from]);
    }

    private void set(int index, long timeMicros, long sequence, Runnable event) {
        timesMicros[index] = timeMicros;
        sequences[index] = sequence;
        events[index] = event;
    }
}
