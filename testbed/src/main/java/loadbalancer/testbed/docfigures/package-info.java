/** Holds the figures of Markdown pages to the measurement files that they refer to. */
package loadbalancer.testbed.docfigures;
