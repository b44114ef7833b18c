/**
 * Small utilities that all other packages may use.
 *
 * <ul>
 *   <li>{@link loadbalancer.util.Hashing}: hash functions that are the same everywhere; stateless,
 *       safe for use from any thread
 *   <li>{@link loadbalancer.util.EventRateLimiter}: limits the number of events per time window;
 *       confined to the thread of its owner
 * </ul>
 *
 * <p>Must not depend on any other package of this project.
 */
package loadbalancer.util;
