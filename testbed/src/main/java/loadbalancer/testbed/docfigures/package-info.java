/**
 * Measurement files, and the check that the figures of Markdown pages agree with the measurement
 * files to which they refer.
 */
package loadbalancer.testbed.docfigures;
