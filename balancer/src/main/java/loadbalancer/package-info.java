/** The entry point of the load balancer, {@link loadbalancer.Main}. It holds no logic. */
package loadbalancer;
