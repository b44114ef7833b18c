package junctionhead;

import java.util.Arrays;
import java.util.Iterator;
import java.util.NoSuchElementException;
import junctionhead.Books.Node;

/**
 * Servers at points of a ring that follow from their ids, so that a change of the list moves few of
 * them. Only the points of changed servers are touched: made anew at each step of a deploy, the
 * ring cost more than all requests. Points are spread evenly, so the ring is cut into even parts,
 * each a short sorted array: as a tree it took half a kilobyte for each server.
 */
final class Ring {
    // Points in a part, as a mean
    private static final int PART_MOST = 32;
    private static final int PART_LEAST = 4;
    // Places that a full part grows by
    private static final int SPARE = 4;
    // Servers that a walk from home looks ahead, at least
    private static final int AHEAD = 16;

    // Where this balancer's subset starts
    private final long home;
    private long[][] at = {{}};
    private Node[][] servers = {{}};
    // Points of each part
    private int[] held = {0};
    // Of a point that name its part
    private int bits;
    private int points;
    private long moves;

    // Each server once, from home on, as far as walks have gone: what changes beyond does not
    // concern it.
    private Node[] near = new Node[AHEAD];
    private int met;
    // The ring behind home that this covers; unsigned
    private long seen;
    // Or all of it
    private boolean whole;
    // Tells its servers' marks from those of before
    private int walk = 1;

    Ring(long home) {
        this.home = home;
    }

    /** Has the server stand at {@code many} points. */
    void place(Node n, int many) {
        while (n.points < many) {
            put(Hashing.mix(n.hash + n.points++), n);
        }
        while (n.points > many) {
            remove(Hashing.mix(n.hash + --n.points), n);
        }
    }

    /** Points that have come or gone so far: what changes of the list have cost. */
    long moves() {
        return moves;
    }

    private int part(long point) {
        return bits == 0 ? 0 : (int) ((point ^ Long.MIN_VALUE) >>> (Long.SIZE - bits));
    }

    private int find(int part, long point) {
        return Arrays.binarySearch(at[part], 0, held[part], point);
    }

    private void put(long point, Node n) {
        changed(point);
        int part = part(point);
        int found = find(part, point);
        if (found >= 0) {
            servers[part][found] = n;
            return;
        }
        int many = held[part]++;
        if (many == at[part].length) {
            at[part] = Arrays.copyOf(at[part], many + SPARE);
            servers[part] = Arrays.copyOf(servers[part], many + SPARE);
        }
        int i = -found - 1;
        System.arraycopy(at[part], i, at[part], i + 1, many - i);
        System.arraycopy(servers[part], i, servers[part], i + 1, many - i);
        at[part][i] = point;
        servers[part][i] = n;
        if (++points > (long) PART_MOST << bits) {
            cut(bits + 1);
        }
    }

    private void remove(long point, Node n) {
        int part = part(point);
        int i = find(part, point);
        if (i < 0 || servers[part][i] != n) {
            return;
        }
        changed(point);
        int left = --held[part];
        System.arraycopy(at[part], i + 1, at[part], i, left - i);
        System.arraycopy(servers[part], i + 1, servers[part], i, left - i);
        servers[part][left] = null;
        if (--points < (long) PART_LEAST << bits && bits > 0) {
            cut(bits - 1);
        }
    }

    // Cuts the ring into twice or half as many parts as before.
    private void cut(int newBits) {
        long[][] oldAt = at;
        Node[][] oldServers = servers;
        int[] oldHeld = held;
        bits = newBits;
        held = new int[1 << bits];
        for (int old = 0; old < oldAt.length; old++) {
            for (int i = 0; i < oldHeld[old]; i++) {
                held[part(oldAt[old][i])]++;
            }
        }
        at = Arrays.stream(held).mapToObj(long[]::new).toArray(long[][]::new);
        servers = Arrays.stream(held).mapToObj(Node[]::new).toArray(Node[][]::new);
        Arrays.fill(held, 0);
        for (int old = 0; old < oldAt.length; old++) {
            for (int i = 0; i < oldHeld[old]; i++) {
                int part = part(oldAt[old][i]);
                at[part][held[part]] = oldAt[old][i];
                servers[part][held[part]++] = oldServers[old][i];
            }
        }
    }

    // ---------------------------------------------------------------- walks

    /**
     * The servers of all points, once round from {@code point} on; of use until the next change.
     */
    Iterator<Node> from(long point) {
        return new Round(point);
    }

    private final class Round implements Iterator<Node> {
        private int part;
        private int i;
        private int left = points;

        Round(long point) {
            part = part(point);
            int found = find(part, point);
            i = found < 0 ? -found - 1 : found;
        }

        @Override
        public boolean hasNext() {
            return left > 0;
        }

        @Override
        public Node next() {
            nextPoint();
            left--;
            return servers[part][i++];
        }

        // Steps to the next one's part, without passing it.
        long nextPoint() {
            if (left <= 0) {
                throw new NoSuchElementException();
            }
            while (i >= held[part]) {
                part = part + 1 & held.length - 1;
                i = 0;
            }
            return at[part][i];
        }
    }

    /**
     * Each server once, in the order of the first points met from home on; of use until the next
     * change.
     */
    Iterator<Node> fromHome() {
        return new Iterator<>() {
            private int i;

            @Override
            public boolean hasNext() {
                return i < met || lookAhead();
            }

            @Override
            public Node next() {
                if (!hasNext()) {
                    throw new NoSuchElementException();
                }
                return near[i++];
            }
        };
    }

    // Has the walk from home go on; false where it has been round. By half as far again each time.
    private boolean lookAhead() {
        if (whole) {
            return false;
        }
        int before = met;
        int enough = met + Math.max(AHEAD, met / 2);
        Round round = new Round(met == 0 ? home : home + seen + 1);
        while (round.hasNext() && met < enough) {
            long distance = round.nextPoint() - home;
            if (met > 0 && Long.compareUnsigned(distance, seen) <= 0) {
                // Round
                break;
            }
            Node n = round.next();
            seen = distance;
            if (n.near != walk) {
                n.near = walk;
                near = met < near.length ? near : Arrays.copyOf(near, 2 * met);
                near[met++] = n;
            }
        }
        whole = met < enough;
        return met > before;
    }

    private void changed(long point) {
        moves++;
        if (met > 0 && (whole || Long.compareUnsigned(point - home, seen) <= 0)) {
            Arrays.fill(near, null);
            met = 0;
            whole = false;
            walk++;
        } else if (met == 0) {
            whole = false;
        }
    }
}
