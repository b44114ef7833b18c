package junctionhead;

import junctionhead.Books.Node;

/** Rule 4: a cold server gets its part of what warm ones of like weight take, from nothing on. */
final class Warming {
    // Work sent to a cold server, as a share of what a warm one of like weight takes at the same
    // coldness.
    private static final double MARGIN = 1.6;

    private final Policy.Settings settings;
    // Answers per second of a warm server, before any is known
    private final double least;
    // Answers per second and weight of warm servers
    private double warmRate;

    Warming(Policy.Settings settings, long shortestAim) {
        this.settings = settings;
        // A warm server gives two answers in the shortest aim, to all balancers.
        this.least = 2e6 / shortestAim / settings.balancers();
    }

    /** The part of its full speed that a server has by now, 1: it is warm. */
    double warmth(Node n, long now) {
        Policy.Bounds b = settings.bounds();
        long age = now - n.server.startedAt();
        if (n.server.startedAt() <= 0 || b.rampTime() <= 0 || age >= b.rampTime()) {
            return 1;
        }
        return b.coldFrom() + (1 - b.coldFrom()) * Math.max(0, age) / b.rampTime();
    }

    /** The part of its full speed that may be asked of a server now. */
    double usable(Node n, long now) {
        return Math.min(1, MARGIN * warmth(n, now));
    }

    boolean hasBudget(Node n, long now) {
        double part = warmth(n, now);
        if (part >= 1) {
            return true;
        }
        // Answers per second that a warm server of its weight gives this balancer.
        double rate = part * MARGIN * Math.max(least, warmRate * n.server.weight());
        double most = rate * settings.bounds().fallWindow() / 3e6;
        double tokens = n.tokens + rate * (now - n.tokensAt) / 1e6;
        // Less than one at a time: one is kept for two thirds of the window, then lost. Guards
        // against as
        // many at once as there are balancers, each of which had saved one while there was little
        // to do.
        n.tokens = most >= 1 ? Math.min(most, tokens) : tokens % (1 + 2 * most);
        n.tokensAt = now;
        return n.tokens >= 1;
    }

    /** Learns from warm servers: so many answers a second, by servers of so much weight. */
    void learn(double answers, double weight) {
        warmRate = weight <= 0 ? 0 : answers / weight;
    }
}
