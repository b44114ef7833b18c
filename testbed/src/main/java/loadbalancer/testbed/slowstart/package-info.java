/**
 * Measures in virtual time how many requests upstreams in slow start receive from all balancers
 * together: {@link loadbalancer.testbed.slowstart.SlowStartSimulation} simulates the traffic, and
 * {@link loadbalancer.testbed.slowstart.WarmingServerLoad} compares the requests of one upstream
 * with its budget. Single-threaded; the seed determines the result.
 */
package loadbalancer.testbed.slowstart;
