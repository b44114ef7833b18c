/**
 * The client of the platform's discovery service. {@link loadbalancer.discovery.DiscoveryClient}
 * gets endpoint lists by a watch, a call whose response streams each change, and by polls of the
 * whole list; which of the two, and when, depends on {@link
 * loadbalancer.routing.api.DiscoveryMode}. Lists go to an {@link
 * loadbalancer.discovery.EndpointListListener}.
 *
 * <p>All of it is confined to the balancer's event loop. The package may use {@code config} and
 * {@code routing.api}; it must not depend on what consumes the lists.
 */
package loadbalancer.discovery;
