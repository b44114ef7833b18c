/** Command entry of the load balancer; see {@link loadbalancer.Main}. It holds no logic. */
package loadbalancer;
