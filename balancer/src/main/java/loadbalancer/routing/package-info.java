/**
 * Makes the routing decisions of one balancer: which endpoint a request is sent to, and when it is
 * sent, retried, hedged, queued, rejected or failed.
 *
 * <p>{@link loadbalancer.routing.RoutingEngine} implements {@link
 * loadbalancer.routing.api.RoutingPolicy} and delegates each decision to the class that makes it:
 *
 * <ul>
 *   <li>{@code CandidateFilter}: the endpoints that may take a request;
 *   <li>{@code JsqDasSelector}: the endpoint that is selected from them by JSQ-DAS, by the queue
 *       lengths that {@code QueueLengthEstimator} estimates;
 *   <li>{@code RetryPolicy}: retries, hedged requests, attempt time-outs and their budget;
 *   <li>{@code KeyOrdering}: the order of requests of ordered classes that have the same key;
 *   <li>{@code RequestLifecycle}: a request from its arrival to its final response;
 *   <li>{@code AttemptRecorder}: the effects of an attempt's outcome on endpoint statistics.
 * </ul>
 *
 * <p>The state of endpoints is in {@code routing.endpoint}, ejection and recovery in {@code
 * routing.health}, load shedding and quotas in {@code routing.admission}, and the load reports that
 * balancers exchange in {@code routing.gossip}.
 *
 * <p>Nothing in this package is thread-safe: all objects of one engine are used only on the thread
 * that delivers its events. The package reads no clock, opens no socket and uses only random
 * numbers derived from the engine's seed, so that the same events give the same actions. It must
 * not depend on the packages that do input and output ({@code http}, {@code upstream}, {@code
 * dispatch}, {@code cluster}, {@code server}).
 */
package loadbalancer.routing;
