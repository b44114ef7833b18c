package junctionhead.lab.sim;

import java.util.Arrays;

/**
 * What is to happen, least first by time and then by number: a heap of four children a node in
 * plain arrays, as a fleet of thousands has a million entries waiting.
 */
final class EventQueue {
    private static final int CHILDREN = 4;
    private static final int FIRST_ROOM = 1 << 12;

    private long[] at = new long[FIRST_ROOM];
    private long[] number = new long[FIRST_ROOM];
    private Runnable[] what = new Runnable[FIRST_ROOM];
    private int size;

    boolean isEmpty() {
        return size == 0;
    }

    /** When the first is due. */
    long firstAt() {
        return at[0];
    }

    void add(long time, long order, Runnable event) {
        if (size == at.length) {
            at = Arrays.copyOf(at, 2 * size);
            number = Arrays.copyOf(number, 2 * size);
            what = Arrays.copyOf(what, 2 * size);
        }
        int i = size++;
        while (i > 0 && before(time, order, (i - 1) / CHILDREN)) {
            move((i - 1) / CHILDREN, i);
            i = (i - 1) / CHILDREN;
        }
        set(i, time, order, event);
    }

    /** Takes out the first. */
    Runnable poll() {
        Runnable first = what[0];
        size--;
        long time = at[size];
        long order = number[size];
        Runnable last = what[size];
        what[size] = null;
        int i = 0;
        for (int least = leastChild(0);
                least >= 0 && !before(time, order, least);
                least = leastChild(i)) {
            move(least, i);
            i = least;
        }
        if (size > 0) {
            set(i, time, order, last);
        }
        return first;
    }

    private int leastChild(int of) {
        int from = of * CHILDREN + 1;
        if (from >= size) {
            return -1;
        }
        int least = from;
        for (int c = from + 1; c < Math.min(size, from + CHILDREN); c++) {
            least = before(at[c], number[c], least) ? c : least;
        }
        return least;
    }

    private boolean before(long time, long order, int other) {
        return time < at[other] || time == at[other] && order < number[other];
    }

    private void move(int from, int to) {
        set(to, at[from], number[from], what[from]);
    }

    private void set(int i, long time, long order, Runnable event) {
        at[i] = time;
        number[i] = order;
        what[i] = event;
    }
}
