/**
 * The evaluation of runs: request outcomes by time window, the result as stored in {@code
 * result.json}, and bootstrap intervals for comparisons. Later versions must be able to read stored
 * results, so their keys must not change.
 */
package loadbalancer.testbed.statistics;
