package loadbalancer.testbed.client;

import java.util.Arrays;
import loadbalancer.testbed.scenario.Scenario;

/**
 * The balancers that the front end sends clients to, round robin within the client's zone. A
 * balancer that refuses connections leaves the rotation once it has done so for the scenario's
 * {@code front_notice_ms}; until then clients still meet the refusal. Times are µs of any one
 * clock. Confined to the thread that plays the run.
 */
public final class FrontendRotation {
    /** What {@link #chooseBalancer} returns if no balancer is in rotation. */
    public static final int NO_BALANCER = -1;

    private static final long REACHABLE = Long.MIN_VALUE;

    /** Where the round robin goes on after a client was sent to another zone. */
    public enum FallbackPosition {
        /** At the balancer that was chosen. */
        ADVANCES,
        /** Where it was: clients without a balancer in their zone all meet the same one. */
        STAYS
    }

    private final Scenario scenario;
    private final FallbackPosition fallbackPosition;
    private final boolean[] inRotation;
    private final long[] refusingSinceMicros;
    private int lastChosen;

    /** Creates a rotation with the scenario's balancers, all reachable. */
    public FrontendRotation(
            Scenario scenario, boolean initiallyInRotation, FallbackPosition fallbackPosition) {
        this.scenario = scenario;
        this.fallbackPosition = fallbackPosition;
        inRotation = new boolean[scenario.fleet().balancers()];
        refusingSinceMicros = new long[inRotation.length];
        Arrays.fill(inRotation, initiallyInRotation);
        Arrays.fill(refusingSinceMicros, REACHABLE);
    }

    /** The balancer answered: it is in rotation if it said that it is ready. */
    public void onReadiness(int balancer, boolean ready) {
        inRotation[balancer] = ready;
        refusingSinceMicros[balancer] = REACHABLE;
    }

    /** A connection to the balancer was refused. */
    public void onUnreachable(int balancer, long nowMicros) {
        if (refusingSinceMicros[balancer] == REACHABLE) {
            refusingSinceMicros[balancer] = nowMicros;
        }
        long refusingMicros = nowMicros - refusingSinceMicros[balancer];
        if (refusingMicros >= scenario.load().frontendDetectionMs() * 1e3) {
            inRotation[balancer] = false;
        }
    }

    /** Whether the latest connection to the balancer was refused. */
    public boolean isUnreachable(int balancer) {
        return refusingSinceMicros[balancer] != REACHABLE;
    }

    /** Whether clients are sent to the balancer. */
    public boolean isInRotation(int balancer) {
        return inRotation[balancer];
    }

    /**
     * Returns the next balancer of the client's zone, the next of any other zone if that one has
     * none in rotation, or {@link #NO_BALANCER}.
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
