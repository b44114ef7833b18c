/** The HTML page of a run, made of its stored result. */
package loadbalancer.testbed.report;
