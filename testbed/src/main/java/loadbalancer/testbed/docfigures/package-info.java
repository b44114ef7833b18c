/**
 * Measurement files, and the check that the figures of Markdown pages agree with the measurement
 * files that they refer to.
 */
package loadbalancer.testbed.docfigures;
