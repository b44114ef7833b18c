/**
 * What a run is judged by: windows of service, the result as it is stored in {@code result.json},
 * and bootstrap intervals for comparisons. Keys of stored results stay readable by later versions.
 */
package loadbalancer.testbed.statistics;
