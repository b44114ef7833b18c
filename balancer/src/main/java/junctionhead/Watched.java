package junctionhead;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import junctionhead.Books.Node;

/**
 * The listed servers that may be out of the ordinary: cold, sent to of late, at rest, out of reach.
 * All others are warm, idle and without a fault, so that looks at all servers need these only. One
 * is added by what happens to it, before that can matter, and dropped when a look finds it ordinary
 * again.
 */
final class Watched {
    // µs, after which answers count for nothing
    private static final long QUIET = 12 * (long) Counts.FADE;

    // In the order of the list
    private final List<Node> nodes = new ArrayList<>();

    /** Those watched, in the order of the list; the caller leaves them as they are. */
    List<Node> nodes() {
        return nodes;
    }

    void add(Node n) {
        if (!n.isWatched && n.counted != null) {
            n.isWatched = true;
            nodes.add(Roster.where(nodes, n), n);
        }
    }

    void remove(Node n) {
        if (n.isWatched) {
            n.isWatched = false;
            nodes.remove(Roster.where(nodes, n));
        }
    }

    /** Drops those that are ordinary. */
    void tidy(Predicate<Node> warm, long now) {
        nodes.removeIf(
                n -> {
                    n.isWatched = !n.isOrdinary(now - QUIET, now) || !warm.test(n);
                    return !n.isWatched;
                });
    }
}
