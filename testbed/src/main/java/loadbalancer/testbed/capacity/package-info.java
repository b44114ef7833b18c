/**
 * Measures the costs of a fleet's control plane as a function of the fleet's size. Its balancers
 * are hollow: they run the routing policy, membership and leases, but have no data path, so that
 * thousands of them fit into one JVM. A fleet runs in simulated time ({@code SimulatedHollowFleet})
 * or over loopback sockets ({@code SocketHollowFleet}). On sockets, it may include real balancers.
 * Each fleet is used by one thread.
 */
package loadbalancer.testbed.capacity;
