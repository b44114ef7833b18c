/**
 * What the control plane of a fleet costs by its size: hollow balancers, which run the routing
 * policy, membership and leases without a data path, in simulated time ({@code
 * SimulatedHollowFleet}) or over loopback sockets ({@code SocketHollowFleet}). Each fleet belongs
 * to one thread.
 */
package loadbalancer.testbed.capacity;
