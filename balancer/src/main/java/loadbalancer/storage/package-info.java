/**
 * What a balancer keeps over a crash or a loss of power, and how it is known to be whole. Knows
 * nothing of requests; what kept knowledge is worth is for others to say.
 */
package loadbalancer.storage;
