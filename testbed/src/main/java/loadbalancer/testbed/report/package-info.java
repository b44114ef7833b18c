/**
 * The HTML page on a run, made of its stored result: {@link
 * loadbalancer.testbed.report.HtmlReport}. Depends on {@code statistics} only.
 */
package loadbalancer.testbed.report;
