/**
 * Small utilities that all other packages may use.
 *
 * <ul>
 *   <li>{@link loadbalancer.util.Hashing}: hash functions that are the same everywhere; stateless,
 *       safe for use from any thread
 *   <li>{@link loadbalancer.util.EventRateLimiter}: limits the number of events per time window;
 *       confined to the thread of its owner
 *   <li>{@link loadbalancer.util.Exceptions}: runs all steps of a cleanup although one throws, and
 *       describes exceptions for the log; stateless, safe for use from any thread
 * </ul>
 *
 * <p>Must not depend on any other package of this project.
 */
package loadbalancer.util;
