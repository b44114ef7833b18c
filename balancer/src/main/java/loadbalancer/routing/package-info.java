/**
 * The routing decisions of one balancer: which endpoint a request is sent to, when it is sent,
 * retried, hedged, queued, rejected or failed.
 *
 * <p>{@link loadbalancer.routing.RoutingEngine} implements {@link
 * loadbalancer.routing.api.RoutingPolicy} and delegates each decision to the class that makes it:
 *
 * <ul>
 *   <li>{@code CandidateFilter}: the endpoints that may take a request;
 *   <li>{@code JsqDasSelector}: the one of them that is chosen (the policy of the paper), comparing
 *       the queues that {@code QueueLengthEstimator} estimates;
 *   <li>{@code RetryPolicy}: retries, hedged requests, attempt time-outs and their budget;
 *   <li>{@code KeyOrdering}: requests with one key of an ordered class run one at a time;
 *   <li>{@code RequestLifecycle}: a request from its arrival to its final answer;
 *   <li>{@code AttemptRecorder}: what the outcome of an attempt teaches about its endpoint.
 * </ul>
 *
 * <p>State and rules of endpoints are in {@code routing.endpoint} and {@code routing.health}, load
 * shedding and quotas in {@code routing.admission}, load reports between balancers in {@code
 * routing.gossip}.
 *
 * <p>Nothing here is thread-safe: all objects of one engine belong to the one thread that delivers
 * its events. The package reads no clock, opens no socket and draws randomness from the engine's
 * seed only, so that the same events give the same actions; it must not depend on the packages that
 * do input and output ({@code http}, {@code upstream}, {@code dispatch}, {@code cluster}, {@code
 * server}).
 */
package loadbalancer.routing;
