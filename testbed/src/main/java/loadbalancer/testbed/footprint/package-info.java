/**
 * Measures what one real balancer process costs at a given size: CPU when idle and per change of
 * the endpoint list, memory, time until ready. The process runs beside emulated discovery, peers
 * and upstreams.
 */
package loadbalancer.testbed.footprint;
