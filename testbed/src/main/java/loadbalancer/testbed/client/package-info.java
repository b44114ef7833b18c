/**
 * Behaviour of clients and of the front end that both ways of playing a scenario share: {@link
 * loadbalancer.testbed.client.FrontendRotation} chooses the balancer of an attempt, {@link
 * loadbalancer.testbed.client.ClientRequestLifecycle} decides between a retry and the end of a
 * request. Sockets and virtual time belong to {@code emulation} and {@code simulation}, which call
 * this package and which it must not depend on. Classes are confined to the thread that plays the
 * run.
 */
package loadbalancer.testbed.client;
