package loadbalancer.testbed.emulation;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import loadbalancer.testbed.network.NetworkLink;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The network between one balancer and one party that it connects to: a link in each direction and
 * the connections over them. The testbed owns the far end of each connection and delays and resets
 * it there: a relay would cost a second socket pair per connection and change nothing that the
 * balancer observes. Confined to the emulation's event loop.
 */
public final class NetworkPath {
    private final NetworkLink forwardLink;
    private final NetworkLink reverseLink;
    private final Set<NetworkPathHandler> connections = new LinkedHashSet<>();
    private final Runnable onChange;
    private int refusalCount;

    /** Creates a path; {@code onChange} runs when connections can no longer, or can again, open. */
    public NetworkPath(UniformRandomProvider random, long delayMicros, Runnable onChange) {
        this.forwardLink = new NetworkLink(random, delayMicros);
        this.reverseLink = new NetworkLink(random, delayMicros);
        this.onChange = onChange;
    }

    /** The link from the balancer to the other party. */
    NetworkLink forwardLink() {
        return forwardLink;
    }

    /** The link from the other party to the balancer. */
    NetworkLink reverseLink() {
        return reverseLink;
    }

    /** The open connections, in the order in which they were opened. */
    Set<NetworkPathHandler> connections() {
        return connections;
    }

    /** Whether connections do not open: they need both directions. */
    boolean isSilent() {
        return forwardLink.isCut() || reverseLink.isCut();
    }

    /** Whether a fault refuses connections. */
    boolean refusesConnections() {
        return refusalCount > 0;
    }

    /** Adds a fault to one link or both, or removes it. */
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

    /** Starts or ends a fault that refuses connections; faults may overlap. */
    void setRefusing(boolean refusing) {
        refusalCount += refusing ? 1 : -1;
        onChange.run();
    }

    /** Resets all connections. */
    void resetConnections() {
        new ArrayList<>(connections).forEach(NetworkPathHandler::resetConnection);
    }
}
