/**
 * How many requests upstreams in slow start get from all balancers together, in virtual time:
 * {@link loadbalancer.testbed.slowstart.SlowStartSimulation} plays the traffic and {@link
 * loadbalancer.testbed.slowstart.WarmingServerLoad} compares what one upstream gets with its
 * budget. Single-threaded, deterministic by the seed.
 */
package loadbalancer.testbed.slowstart;
