/**
 * What one real balancer process costs at a given size: CPU at rest and by change of the endpoint
 * list, memory, time until ready. The process under test runs beside emulated discovery, peers and
 * upstreams.
 */
package loadbalancer.testbed.footprint;
