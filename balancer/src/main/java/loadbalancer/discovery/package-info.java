/**
 * The client of the platform's discovery service. {@link loadbalancer.discovery.DiscoveryClient}
 * gets endpoint lists by watches, which are calls whose response streams each change, and by polls
 * of the whole list; {@link loadbalancer.routing.api.DiscoveryMode} determines which of the two it
 * uses, and when. An {@link loadbalancer.discovery.EndpointListListener} receives the lists.
 *
 * <p>All classes are confined to the balancer's event loop. The package may use {@code config} and
 * {@code routing.api}; it must not depend on the code that consumes the lists.
 */
package loadbalancer.discovery;
