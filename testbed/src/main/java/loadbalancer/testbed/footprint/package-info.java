/**
 * Measures the costs of one real balancer process at a given size: CPU time when idle and per
 * change of the endpoint list, memory, and the time until it is ready. Discovery, peers and
 * upstreams are emulated.
 */
package loadbalancer.testbed.footprint;
