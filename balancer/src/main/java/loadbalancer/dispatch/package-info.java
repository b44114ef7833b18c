/**
 * Between the sockets and the routing policy: the table of requests and attempts, their timers, the
 * events that the policy is given and the actions that it asks for. It decides nothing.
 *
 * <p>{@link loadbalancer.dispatch.Dispatcher} is the entry point. {@code ExchangeLifecycle} follows
 * a client's request, {@code AttemptRunner} its attempts, {@code FinalResponses} settles its one
 * final response; {@code PolicyEvents} hands events to the policy and {@code PolicyActions} carries
 * out its actions. The client side is reached by {@link loadbalancer.dispatch.ResponseSender} and
 * calls back by {@link loadbalancer.dispatch.RequestHandle}.
 *
 * <p>All of it is confined to one event loop's thread. The package must not depend on {@code
 * loadbalancer.http} or {@code loadbalancer.server}.
 */
package loadbalancer.dispatch;
