package loadbalancer.testbed.client;

import java.util.Arrays;
import loadbalancer.testbed.scenario.Scenario;

/**
 * Chooses the balancer that the frontend sends a client to, round robin within the client's zone. A
 * balancer that refuses connections leaves the rotation after it has refused them for the
 * scenario's {@code front_notice_ms}; until then clients are still sent to it and are refused. All
 * times are µs of the same clock, whose origin does not matter. Confined to the thread that
 * executes the run.
 */
public final class FrontendRotation {
    /** Returned by {@link #chooseBalancer} if no balancer is in rotation. */
    public static final int NO_BALANCER = -1;

    private static final long REACHABLE = Long.MIN_VALUE;

    /** Selects where the round robin continues after a client was sent to another zone. */
    public enum FallbackPosition {
        /** The round robin continues after the balancer that was chosen. */
        ADVANCES,
        /**
         * The round robin continues where it was, so that clients without a balancer in their zone
         * are all sent to the same one.
         */
        STAYS
    }

    private final Scenario scenario;
    private final FallbackPosition fallbackPosition;
    private final boolean[] inRotation;
    // By balancer: time of the first of its successive refusals, or REACHABLE.
    private final long[] refusingSinceMicros;
    private int lastChosen;

    /**
     * Creates a rotation with the scenario's balancers, all reachable.
     *
     * @param initiallyInRotation whether the balancers are in rotation before the first call of
     *     {@link #onReadiness}
     */
    public FrontendRotation(
            Scenario scenario, boolean initiallyInRotation, FallbackPosition fallbackPosition) {
        this.scenario = scenario;
        this.fallbackPosition = fallbackPosition;
        inRotation = new boolean[scenario.fleet().balancers()];
        refusingSinceMicros = new long[inRotation.length];
        Arrays.fill(inRotation, initiallyInRotation);
        Arrays.fill(refusingSinceMicros, REACHABLE);
    }

    /** Puts a balancer that answered into rotation if it is ready, otherwise removes it. */
    public void onReadiness(int balancer, boolean ready) {
        inRotation[balancer] = ready;
        refusingSinceMicros[balancer] = REACHABLE;
    }

    /** Handles a refused connection to the balancer. */
    public void onUnreachable(int balancer, long nowMicros) {
        if (refusingSinceMicros[balancer] == REACHABLE) {
            refusingSinceMicros[balancer] = nowMicros;
        }
        long refusingMicros = nowMicros - refusingSinceMicros[balancer];
        if (refusingMicros >= scenario.load().frontendDetectionMs() * 1e3) {
            inRotation[balancer] = false;
        }
    }

    /** Returns whether the latest connection to the balancer was refused. */
    public boolean isUnreachable(int balancer) {
        return refusingSinceMicros[balancer] != REACHABLE;
    }

    /** Returns whether clients are sent to the balancer. */
    public boolean isInRotation(int balancer) {
        return inRotation[balancer];
    }

    /**
     * Returns the next balancer in rotation in the client's zone, or of any other zone if the
     * client's zone has none, or {@link #NO_BALANCER}.
     */
    public int chooseBalancer(int zone) {
        int fallback = NO_BALANCER;
        for (int offset = 1; offset <= inRotation.length; offset++) {
            int balancer = (lastChosen + offset) % inRotation.length;
            if (!inRotation[balancer]) {
                continue;
            }
            if (scenario.zoneOfBalancer(balancer) == zone) {
                lastChosen = balancer;
                return balancer;
            }
            if (fallback == NO_BALANCER) {
                fallback = balancer;
            }
        }
        if (fallback != NO_BALANCER && fallbackPosition == FallbackPosition.ADVANCES) {
            lastChosen = fallback;
        }
        return fallback;
    }
}
