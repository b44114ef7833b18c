package junctionhead;

/**
 * How much of what comes to all balancers the servers in reach can carry. Guards against refusal
 * that is learnt from late answers: with most servers lost it began seconds late, and then went on
 * for seconds after they were back, at all balancers together. What tenants are promised tells what
 * the whole fleet can do; the part of it that is in reach and warm is known at once, and so is what
 * comes, as balancers tell each other. It only bounds what strain bids: how fast servers really
 * are, only answers tell.
 */
final class Capacity {
    // µs, time constant of the rate of requests
    private static final double NEWS = 1e6;
    // Tenants' shares, of what the whole fleet can do
    private static final double PROMISED_LEAST = 0.8;
    // Of what is promised, however late answers are
    private static final double USED_LEAST = 0.6;

    // Requests per second, of the whole fleet
    private final double promised;
    // Servers of the fleet when first listed
    private int whole;
    // Faded requests
    private double came;
    // Of the whole fleet, in reach and warm
    private double part = 1;

    Capacity(Policy.Settings settings) {
        promised = settings.tenants().stream().mapToDouble(Policy.Tenant::allowancePerSecond).sum();
    }

    /**
     * So many servers are listed, and {@code share} of what they all can do is in reach and warm.
     */
    void inReach(int listed, double share) {
        whole = whole > 0 ? whole : listed;
        part = whole > 0 ? share * listed / whole : 1;
    }

    void request() {
        came++;
    }

    void fade(double elapsed) {
        came *= Math.exp(-elapsed / NEWS);
    }

    /** Requests that this balancer gets a second. */
    double rate() {
        return came / NEWS * 1e6;
    }

    /**
     * The part of {@code rate} requests a second that is more than the fleet in reach can carry, at
     * best.
     */
    double over(double rate) {
        return promised > 0
                ? Math.max(0, 1 - promised * part / PROMISED_LEAST / Math.max(1e-9, rate))
                : 0;
    }

    /** The part of them that may be refused at most: servers in reach carry the rest, if late. */
    double most(double rate) {
        return promised > 0
                ? Math.max(0, 1 - USED_LEAST * promised * part / Math.max(1e-9, rate))
                : 1;
    }
}
