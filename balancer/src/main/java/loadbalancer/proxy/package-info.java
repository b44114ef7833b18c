/**
 * The types that the client side and the upstream side of the proxy share: a client's request, the
 * relay of a streamed body, strict message framing and the limit on file descriptors.
 *
 * <p>{@link loadbalancer.proxy.ProxyRequest} is immutable. {@link loadbalancer.proxy.BodyRelay} and
 * {@link loadbalancer.proxy.FileDescriptorBudget} are confined to the event loop. The package must
 * not depend on other packages of the load balancer.
 */
package loadbalancer.proxy;
