package loadbalancer.testbed.emulation;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import loadbalancer.testbed.network.NetworkLink;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Models the network between one balancer and one party that it connects to: a link in each
 * direction and the connections over them. The testbed owns the far end of each connection, and
 * delays bytes and resets connections there. A relay would need a second pair of sockets per
 * connection, and the balancer would observe no difference. Confined to the emulation's event loop.
 */
public final class NetworkPath {
    private final NetworkLink forwardLink;
    private final NetworkLink reverseLink;
    private final Set<NetworkPathHandler> connections = new LinkedHashSet<>();
    private final Runnable onChange;
    private int refusalCount;

    /**
     * Creates a path without faults.
     *
     * @param delayMicros the delay of each direction in µs
     * @param onChange called after each change that may affect whether connections can be opened
     */
    public NetworkPath(UniformRandomProvider random, long delayMicros, Runnable onChange) {
        this.forwardLink = new NetworkLink(random, delayMicros);
        this.reverseLink = new NetworkLink(random, delayMicros);
        this.onChange = onChange;
    }

    /** Returns the link from the balancer to the other party. */
    NetworkLink forwardLink() {
        return forwardLink;
    }

    /** Returns the link from the other party to the balancer. */
    NetworkLink reverseLink() {
        return reverseLink;
    }

    /** Returns the open connections, in the order in which they were opened. */
    Set<NetworkPathHandler> connections() {
        return connections;
    }

    /** Returns whether a direction is cut, so that connection attempts are not answered. */
    boolean isSilent() {
        return forwardLink.isCut() || reverseLink.isCut();
    }

    /** Returns whether a fault makes the party refuse connections. */
    boolean refusesConnections() {
        return refusalCount > 0;
    }

    /** Adds a fault to one link or both if {@code active}, otherwise removes it. */
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

    /** Resets all open connections. */
    void resetConnections() {
        new ArrayList<>(connections).forEach(NetworkPathHandler::resetConnection);
    }
}
