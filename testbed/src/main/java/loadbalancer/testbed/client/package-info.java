/**
 * Behaviour of clients and of the frontend that emulation and simulation share: {@link
 * loadbalancer.testbed.client.FrontendRotation} chooses the balancer of an attempt, {@link
 * loadbalancer.testbed.client.ClientRequestLifecycle} decides between a retry and the end of a
 * request. Sockets and virtual time belong to {@code emulation} and {@code simulation}, which call
 * this package. It must not depend on them. Classes are confined to the thread that executes the
 * run.
 */
package loadbalancer.testbed.client;
