/**
 * The HTML report of a run, rendered from its stored result: {@link
 * loadbalancer.testbed.report.HtmlReport}. Depends on {@code statistics} only.
 */
package loadbalancer.testbed.report;
