package loadbalancer.testbed.capacity;

import loadbalancer.lease.LeaseMessage;
import loadbalancer.membership.MembershipMessage;

/**
 * What the control of a balancer costs something for. The first three are kinds of datagrams too.
 */
enum CostCategory {
    /** What modules tell one another; as CPU, the taking in of it. */
    GOSSIP("word"),
    MEMBERSHIP("membership"),
    LEASES("duties"),
    /** Lists of servers and changes of them. */
    ENDPOINT_LIST("list"),
    /** The module's own wakes, in which its word is written, and its requests. */
    ROUTING("module");

    private final String key;

    CostCategory(String key) {
        this.key = key;
    }

    /** The kind of a datagram. */
    static CostCategory ofDatagram(byte[] datagram) {
        return MembershipMessage.matchesFormat(datagram)
                ? MEMBERSHIP
                : LeaseMessage.matchesFormat(datagram) ? LEASES : GOSSIP;
    }

    /** As figures are named. */
    String key() {
        return key;
    }
}
