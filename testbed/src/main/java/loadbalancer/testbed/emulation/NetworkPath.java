package loadbalancer.testbed.emulation;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import loadbalancer.testbed.network.NetworkLink;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * What lies between one balancer and one party that it connects to: a way there, a way back, and
 * the connections on it. The lab holds the far end of each connection, so that delaying, holding
 * back and resetting happen there: a relay of its own would cost a second socket pair a connection
 * and change nothing seen.
 */
public final class NetworkPath {
    private final NetworkLink forwardLink;
    private final NetworkLink reverseLink;
    private final Set<NetworkPathHandler> connections = new LinkedHashSet<>();
    private final Runnable onChange;
    private int refusalCount;

    /** {@code onChange} is called when connections can no longer, or can again, come up. */
    public NetworkPath(UniformRandomProvider random, long delayMicros, Runnable onChange) {
        this.forwardLink = new NetworkLink(random, delayMicros);
        this.reverseLink = new NetworkLink(random, delayMicros);
        this.onChange = onChange;
    }

    NetworkLink forwardLink() {
        return forwardLink;
    }

    NetworkLink reverseLink() {
        return reverseLink;
    }

    Set<NetworkPathHandler> connections() {
        return connections;
    }

    /** A connection needs both ways to come up. */
    boolean isSilent() {
        return forwardLink.isCut() || reverseLink.isCut();
    }

    boolean refusesConnections() {
        return refusalCount > 0;
    }

    /** Begins or ends a trouble of one way or both. */
    void applyLinkFault(
            NetworkLink.LinkFault linkFault,
            boolean affectsForward,
            boolean affectsReverse,
            boolean active) {
        if (affectsForward) {
            forwardLink.setFault(linkFault, active);
        }
        if (affectsReverse) {
            reverseLink.setFault(linkFault, active);
        }
        new ArrayList<>(connections).forEach(NetworkPathHandler::onPathChanged);
        onChange.run();
    }

    void setRefusing(boolean refusing) {
        refusalCount += refusing ? 1 : -1;
        onChange.run();
    }

    /** Ends all connections with a reset. */
    void resetConnections() {
        new ArrayList<>(connections).forEach(NetworkPathHandler::resetConnection);
    }
}
