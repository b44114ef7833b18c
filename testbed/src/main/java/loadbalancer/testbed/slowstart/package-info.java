/** How many requests endpoints in slow start get from all balancers together, in simulated time. */
package loadbalancer.testbed.slowstart;
