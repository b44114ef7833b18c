package loadbalancer.testbed.capacity;

import loadbalancer.lease.LeaseMessage;
import loadbalancer.membership.MembershipMessage;

/**
 * Divides the costs of the control plane by their cause. The first three categories have datagrams.
 */
enum CostCategory {
    /**
     * Load reports between routing policies. The CPU time covers only receiving them; writing them
     * counts as {@link #ROUTING}.
     */
    GOSSIP("word"),
    /** Messages and timers of membership. */
    MEMBERSHIP("membership"),
    /** Messages and timers of leases. */
    LEASES("duties"),
    /** Processing of endpoint lists and their updates. */
    ENDPOINT_LIST("list"),
    /** Timers of the routing policy, on which it writes load reports, and its requests. */
    ROUTING("module");

    private final String key;

    CostCategory(String key) {
        this.key = key;
    }

    /** Returns the category of a datagram. */
    static CostCategory ofDatagram(byte[] datagram) {
        return MembershipMessage.matchesFormat(datagram)
                ? MEMBERSHIP
                : LeaseMessage.matchesFormat(datagram) ? LEASES : GOSSIP;
    }

    /** Returns the name in keys of metrics. */
    String key() {
        return key;
    }
}
