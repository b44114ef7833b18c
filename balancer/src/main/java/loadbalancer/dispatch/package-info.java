/**
 * Connects the network side to the routing policy: keeps the table of requests and attempts with
 * their timers, passes events to the policy and executes the actions that it requests. It makes no
 * routing decisions.
 *
 * <p>{@link loadbalancer.dispatch.Dispatcher} is the entry point. {@code ExchangeLifecycle} handles
 * the events of a client's request, {@code AttemptRunner} runs its attempts, and {@code
 * FinalResponses} sends its one final response. {@code PolicyEvents} passes events to the policy
 * and {@code PolicyActions} executes its actions. The client side implements {@link
 * loadbalancer.dispatch.ResponseSender} and calls back through {@link
 * loadbalancer.dispatch.RequestHandle}.
 *
 * <p>All classes are confined to one event loop's thread. The package must not depend on {@code
 * loadbalancer.http} or {@code loadbalancer.server}.
 */
package loadbalancer.dispatch;
