package loadbalancer.testbed.capacity;

import loadbalancer.lease.LeaseMessage;
import loadbalancer.membership.MembershipMessage;

/** A part of the control plane whose cost is measured. The first three are kinds of datagrams. */
enum CostCategory {
    /** Load reports between routing policies; their CPU is that of receiving them. */
    GOSSIP("word"),
    /** Messages and timers of membership. */
    MEMBERSHIP("membership"),
    /** Messages and timers of leases. */
    LEASES("duties"),
    /** Endpoint lists and their updates. */
    ENDPOINT_LIST("list"),
    /** Timers of the routing policy, in which it writes load reports, and its requests. */
    ROUTING("module");

    private final String key;

    CostCategory(String key) {
        this.key = key;
    }

    /** The category of a datagram. */
    static CostCategory ofDatagram(byte[] datagram) {
        return MembershipMessage.matchesFormat(datagram)
                ? MEMBERSHIP
                : LeaseMessage.matchesFormat(datagram) ? LEASES : GOSSIP;
    }

    /** The name in keys of metrics. */
    String key() {
        return key;
    }
}
