/**
 * Duties that one balancer holds at a time: leases by a majority of configured voters, as a state
 * machine without sockets, disk or clock of its own. Nothing that is placed on a request waits for
 * it; a duty without a holder rests.
 */
package loadbalancer.lease;
