package junctionhead;

import java.util.TreeMap;
import junctionhead.Books.Node;

/**
 * How many points of the ring each server has: by its weight against the mean of all. Each change
 * of the list moves that mean a little, and few weights come to another number of points by it:
 * only these are found, and their servers moved.
 */
final class Points {
    // Of a server of mean weight
    private static final int MEAN = 8;
    private static final int MOST = 8 * MEAN;
    // For what rounding may do to a bound
    private static final double MARGIN = 1e-9;

    /** Listed servers of one weight, chained. */
    private static final class Group {
        Node first;
        int many;
    }

    private final Ring ring;
    private final TreeMap<Double, Group> groups = new TreeMap<>();
    private double mean = 1;

    Points(Ring ring) {
        this.ring = ring;
    }

    private int many(double weight) {
        return (int) Math.max(1, Math.min(MOST, Math.round(MEAN * weight / mean)));
    }

    /**
     * A listed server counts among those of its weight from here on; its points come with {@link
     * #place}.
     */
    void add(Node n, double weight) {
        Group group = groups.computeIfAbsent(weight, w -> new Group());
        n.after = group.first;
        if (group.first != null) {
            group.first.before = n;
        }
        group.first = n;
    }

    void remove(Node n, double weight) {
        if (n.after != null) {
            n.after.before = n.before;
        }
        if (n.before != null) {
            n.before.after = n.after;
        } else if (n.after != null) {
            groups.get(weight).first = n.after;
        } else {
            groups.remove(weight);
        }
        n.before = null;
        n.after = null;
    }

    /** Gives a server that has changed the points that it is due. */
    void place(Node n) {
        if (n.counted == null) {
            ring.place(n, 0);
        } else {
            groups.get(n.counted.weight()).many = many(n.counted.weight());
            ring.place(n, many(n.counted.weight()));
        }
    }

    /** The mean has moved: between the two, bounds have passed over some weights. */
    void meanIs(double newMean) {
        double low = Math.min(mean, newMean) * (1 - MARGIN) / MEAN;
        double high = Math.max(mean, newMean) * (1 + MARGIN) / MEAN;
        boolean same = mean == newMean;
        mean = newMean;
        for (int many = 1; many < MOST && !same; many++) {
            Double weight = groups.ceilingKey((many + 0.5) * low);
            while (weight != null && weight <= (many + 0.5) * high) {
                rearrange(weight, groups.get(weight));
                weight = groups.higherKey(weight);
            }
        }
    }

    private void rearrange(double weight, Group group) {
        int many = many(weight);
        for (Node n = group.first; n != null && group.many != many; n = n.after) {
            ring.place(n, many);
        }
        group.many = many;
    }
}
