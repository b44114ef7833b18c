/**
 * Functions that all other packages may use: {@link loadbalancer.util.Hashing}. It is stateless,
 * safe for use from any thread, and must not depend on any other package of this project.
 */
package loadbalancer.util;
