package loadbalancer.testbed.report;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import java.util.Locale;
import loadbalancer.testbed.statistics.RunResult;

/**
 * Renders the result of a run as one self-contained HTML page: the {@link TimelinePlot}, followed
 * by tables of faults, latencies, balancers and metrics. Not thread-safe.
 */
public final class HtmlReport {
    private static final String STYLE =
            "body{font:14px sans-serif;margin:2em;max-width:1120px}"
                    + "table{border-collapse:collapse;margin:1em 0}"
                    + "td,th{padding:2px 10px;text-align:right;border-bottom:1px solid #ddd}"
                    + "td:first-child,th:first-child{text-align:left}"
                    + ".bad{color:#b00020}";

    private final RunResult result;
    private final StringBuilder html = new StringBuilder();

    /** Creates the report of a run. */
    public HtmlReport(RunResult result) {
        this.result = result;
    }

    /**
     * Writes {@code report.html} into a directory and returns its path.
     *
     * @throws IOException if the file can't be written
     */
    public Path write(Path directory) throws IOException {
        Path file = directory.resolve("report.html");
        Files.writeString(file, renderPage());
        return file;
    }

    private String renderPage() throws IOException {
        html.setLength(0);
        html.append("<!DOCTYPE html><html><head><meta charset='utf-8'><title>")
                .append(escape(result.scenario()))
                .append("</title><style>")
                .append(STYLE)
                .append("</style></head><body>");
        appendHeading();
        appendViolations();
        appendPlot();
        appendFaults();
        appendLatencies();
        appendBalancers();
        appendMetrics();
        return html.append("</body></html>\n").toString();
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }

    private void appendHeading() {
        html.append("<h1>")
                .append(escape(result.scenario()))
                .append("</h1><p>seed ")
                .append(result.seed())
                .append(", plan ")
                .append(result.workloadDigest())
                .append("</p>");
        if (!result.trusted()) {
            html.append("<p class='bad'>This result is not trusted: ")
                    .append(escape(result.untrustedReason()))
                    .append("</p>");
        }
    }

    private void appendViolations() {
        if (result.violationCount() == 0) {
            html.append("<p>No violations.</p>");
        } else {
            html.append("<p class='bad'>")
                    .append(result.violationCount())
                    .append(" violations</p><ul class='bad'>");
        }
        for (String violation : result.violations()) {
            html.append("<li>").append(escape(violation)).append("</li>");
        }
        html.append(result.violationCount() == 0 ? "" : "</ul>");
    }

    private void appendPlot() throws IOException {
        html.append("<img alt='service, processes and faults over time'")
                .append(" src='data:image/png;base64,")
                .append(Base64.getEncoder().encodeToString(new TimelinePlot(result).renderPng()))
                .append("'>");
    }

    private void appendFaults() {
        html.append(
                "<table><tr><th>fault<th>from (s)<th>until (s)<th>recovered after (s)"
                        + "<th>unserved in 10 s</tr>");
        for (RunResult.FaultImpact fault : result.faults()) {
            appendRow(
                    "<tr><td>%s<td>%.1f<td>%s<td>%s<td>%d</tr>",
                    escape(fault.description()),
                    fault.startSeconds(),
                    formatSeconds(fault.endSeconds(), "-"),
                    formatSeconds(fault.recoverySeconds(), "not recovered"),
                    fault.unservedCount());
        }
        html.append("</table>");
    }

    private void appendLatencies() {
        html.append(
                "<table><tr><th>class/zone<th>served<th>median (ms)<th>99th "
                        + "percentile<th>maximum</tr>");
        result.latencies()
                .forEach(
                        (name, latency) ->
                                appendRow(
                                        "<tr><td>%s<td>%d<td>%.1f<td>%.1f<td>%.1f</tr>",
                                        escape(name),
                                        latency.count(),
                                        latency.p50Ms(),
                                        latency.p99Ms(),
                                        latency.maxMs()));
        html.append("</table>");
    }

    private void appendBalancers() {
        html.append(
                "<table><tr><th>balancer<th>zone<th>processes<th>CPU (s)<th>memory "
                        + "(MB)<th>descriptors"
                        + "<th>datagrams<th>datagram bytes<th>discovery calls</tr>");
        for (RunResult.BalancerUsage balancer : result.balancers()) {
            appendRow(
                    "<tr><td>n%d<td>%s<td>%d<td>%.1f<td>%.0f<td>%d<td>%d<td>%d<td>%d</tr>",
                    balancer.number(),
                    escape(balancer.zone()),
                    balancer.lifetimes().size(),
                    balancer.cpuSeconds(),
                    balancer.memoryMb(),
                    balancer.descriptors(),
                    balancer.datagrams(),
                    balancer.datagramBytes(),
                    balancer.discoveryCalls());
        }
        html.append("</table>");
    }

    private void appendMetrics() {
        html.append("<table><tr><th>figure<th>value</tr>");
        result.metrics()
                .forEach(
                        (name, value) -> appendRow("<tr><td>%s<td>%.4f</tr>", escape(name), value));
        html.append("</table>");
    }

    private void appendRow(String format, Object... values) {
        html.append(String.format(Locale.ROOT, format, values));
    }

    // Stored times are negative if the event did not occur.
    private static String formatSeconds(double seconds, String ifNegative) {
        return seconds < 0 ? ifNegative : String.format(Locale.ROOT, "%.1f", seconds);
    }
}
