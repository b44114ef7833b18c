package loadbalancer.testbed.report;

import java.awt.BasicStroke;
import java.awt.Color;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import loadbalancer.testbed.statistics.RunResult;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.NumberAxis;
import org.jfree.chart.axis.SymbolAxis;
import org.jfree.chart.plot.CombinedDomainXYPlot;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.StandardXYItemRenderer;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/**
 * One page of a run, whole in one file: the service curve, below it each process's life and each
 * fault as bars over the same time, then the figures.
 */
public final class HtmlReport {
    private static final int WIDTH_PIXELS = 1100;
    private static final int CURVE_HEIGHT_PIXELS = 320;
    private static final int BAR_HEIGHT_PIXELS = 18;
    private static final float BAR_STROKE_PIXELS = 8f;
    // Windows that a point is the mean of
    private static final int SMOOTHING_WINDOWS = 5;

    private final RunResult result;

    public HtmlReport(RunResult result) {
        this.result = result;
    }

    /** Writes {@code report.html} into a folder and returns where. */
    public Path write(Path directory) throws IOException {
        Path file = directory.resolve("report.html");
        Files.writeString(file, renderPage());
        return file;
    }

    private String renderPage() throws IOException {
        StringBuilder html =
                new StringBuilder("<!DOCTYPE html><html><head><meta charset='utf-8'><title>")
                        .append(escape(result.scenario()))
                        .append(
                                "</title><style>body{font:14px sans-serif;margin:2em;"
                                        + "max-width:1120px}table{border-collapse:col"
                                        + "lapse;margin:1em 0}td,th{padding:2px 10px;"
                                        + "text-align:right;border-bottom:1px solid "
                                        + "#ddd}td:first-child,th:first-child{text-align:left}"
                                        + ".bad{color:#b00020}</style></head><body><h1>")
                        .append(escape(result.scenario()))
                        .append("</h1><p>seed ")
                        .append(result.seed())
                        .append(", plan ")
                        .append(result.workloadDigest())
                        .append("</p>");
        if (!result.trusted()) {
            html.append("<p class='bad'>This run counts for nothing: ")
                    .append(escape(result.untrustedReason()))
                    .append("</p>");
        }
        html.append(
                result.violationCount() == 0
                        ? "<p>Every rule was kept.</p>"
                        : "<p class='bad'>"
                                + result.violationCount()
                                + " rules broken</p><ul class='bad'>");
        result.violations()
                .forEach(
                        violation -> html.append("<li>").append(escape(violation)).append("</li>"));
        html.append(result.violationCount() == 0 ? "" : "</ul>")
                .append(
                        "<img alt='service, processes and faults over time'"
                                + " src='data:image/png;base64,")
                .append(Base64.getEncoder().encodeToString(renderPlot()))
                .append("'>");
        appendTables(html);
        return html.append("</body></html>\n").toString();
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }

    private void appendTables(StringBuilder html) {
        appendFaults(html);
        appendLatencies(html);
        appendBalancers(html);
        appendMetrics(html);
    }

    private void appendFaults(StringBuilder html) {
        html.append(
                "<table><tr><th>fault<th>from (s)<th>until (s)<th>back after (s)<th>unserved in 10 "
                        + "s</tr>");
        result.faults()
                .forEach(
                        fault ->
                                html.append(
                                        String.format(
                                                Locale.ROOT,
                                                "<tr><td>%s<td>%.1f<td>%s<td>%s<td>%d</tr>",
                                                escape(fault.description()),
                                                fault.startSeconds(),
                                                formatSeconds(fault.endSeconds()),
                                                fault.recoverySeconds() < 0
                                                        ? "not back"
                                                        : formatSeconds(fault.recoverySeconds()),
                                                fault.unservedCount())));
    }

    private void appendLatencies(StringBuilder html) {
        html.append(
                "</table><table><tr><th>class/zone<th>served<th>median (ms)<th>99th "
                        + "percentile<th>most</tr>");
        result.latencies()
                .forEach(
                        (name, latency) ->
                                html.append(
                                        String.format(
                                                Locale.ROOT,
                                                "<tr><td>%s<td>%d<td>%.1f<td>%.1f<td>%.1f</tr>",
                                                escape(name),
                                                latency.count(),
                                                latency.p50Ms(),
                                                latency.p99Ms(),
                                                latency.maxMs())));
    }

    private void appendBalancers(StringBuilder html) {
        html.append(
                "</table><table><tr><th>balancer<th>zone<th>lives<th>CPU (s)<th>memory "
                        + "(MB)<th>descriptors"
                        + "<th>datagrams<th>their bytes<th>list calls</tr>");
        result.balancers()
                .forEach(
                        balancer ->
                                html.append(
                                        String.format(
                                                Locale.ROOT,
                                                "<tr><td>n%d<td>%s<td>%d<td>%.1f<td"
                                                        + ">%.0f<td>%d<td>%d<td>%d<td>%d</tr>",
                                                balancer.number(),
                                                escape(balancer.zone()),
                                                balancer.lifetimes().size(),
                                                balancer.cpuSeconds(),
                                                balancer.memoryMb(),
                                                balancer.descriptors(),
                                                balancer.datagrams(),
                                                balancer.datagramBytes(),
                                                balancer.discoveryCalls())));
    }

    private void appendMetrics(StringBuilder html) {
        html.append("</table><table><tr><th>figure<th>value</tr>");
        result.metrics()
                .forEach(
                        (name, value) ->
                                html.append(
                                        String.format(
                                                Locale.ROOT,
                                                "<tr><td>%s<td>%.4f</tr>",
                                                escape(name),
                                                value)));
        html.append("</table>");
    }

    private static String formatSeconds(double seconds) {
        return seconds < 0 ? "-" : String.format(Locale.ROOT, "%.1f", seconds);
    }

    private byte[] renderPlot() throws IOException {
        NumberAxis timeAxis = new NumberAxis("seconds");
        timeAxis.setRange(0, result.lengthSeconds());
        CombinedDomainXYPlot combinedPlot = new CombinedDomainXYPlot(timeAxis);
        combinedPlot.setGap(6);
        int barCount = result.balancers().size() + result.faults().size();
        combinedPlot.add(servicePlot(), CURVE_HEIGHT_PIXELS);
        if (barCount > 0) {
            combinedPlot.add(timelinePlot(), Math.max(60, barCount * BAR_HEIGHT_PIXELS));
        }
        ByteArrayOutputStream png = new ByteArrayOutputStream();
        ChartUtils.writeChartAsPNG(
                png,
                new JFreeChart(null, null, combinedPlot, true),
                WIDTH_PIXELS,
                CURVE_HEIGHT_PIXELS + 100 + Math.max(60, barCount * BAR_HEIGHT_PIXELS));
        return png.toByteArray();
    }

    private XYPlot servicePlot() {
        XYSeriesCollection dataset = new XYSeriesCollection();
        dataset.addSeries(smoothedSeries("served in time", RunResult.TimeSlice::served));
        dataset.addSeries(smoothedSeries("late", RunResult.TimeSlice::late));
        dataset.addSeries(smoothedSeries("refused", RunResult.TimeSlice::rejected));
        dataset.addSeries(smoothedSeries("failed", RunResult.TimeSlice::failed));
        NumberAxis fractionAxis = new NumberAxis("part of first tries");
        fractionAxis.setRange(0, 1.02);
        XYPlot plot = new XYPlot(dataset, null, fractionAxis, new StandardXYItemRenderer());
        Color[] colors = {
            new Color(0x2a7f3f), new Color(0xd18f00), new Color(0x2b5ea8), new Color(0xb00020)
        };
        for (int i = 0; i < colors.length; i++) {
            plot.getRenderer().setSeriesPaint(i, colors[i]);
            plot.getRenderer().setSeriesStroke(i, new BasicStroke(1.6f));
        }
        plot.setBackgroundPaint(Color.WHITE);
        plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
        return plot;
    }

    private XYSeries smoothedSeries(String name, ToDoubleFunction<RunResult.TimeSlice> count) {
        XYSeries series = new XYSeries(name);
        List<RunResult.TimeSlice> slices = result.slices();
        for (int i = SMOOTHING_WINDOWS - 1; i < slices.size(); i++) {
            List<RunResult.TimeSlice> smoothed = slices.subList(i - SMOOTHING_WINDOWS + 1, i + 1);
            double requested = smoothed.stream().mapToDouble(RunResult.TimeSlice::requested).sum();
            series.add(
                    slices.get(i).startSeconds(),
                    requested == 0 ? 0 : smoothed.stream().mapToDouble(count).sum() / requested);
        }
        return series;
    }

    private XYPlot timelinePlot() {
        XYSeriesCollection dataset = new XYSeriesCollection();
        XYLineAndShapeRenderer renderer = new XYLineAndShapeRenderer(true, false);
        renderer.setDefaultSeriesVisibleInLegend(false);
        List<String> rowNames = new ArrayList<>();
        for (RunResult.BalancerUsage balancer : result.balancers()) {
            for (double[] lifetime : balancer.lifetimes()) {
                addBar(
                        dataset,
                        renderer,
                        rowNames.size(),
                        lifetime[0],
                        lifetime[1],
                        new Color(0x2a7f3f));
            }
            rowNames.add("n" + balancer.number() + " (" + balancer.zone() + ")");
        }
        for (RunResult.FaultImpact fault : result.faults()) {
            addBar(
                    dataset,
                    renderer,
                    rowNames.size(),
                    fault.startSeconds(),
                    fault.endSeconds() < 0 ? fault.startSeconds() + 0.2 : fault.endSeconds(),
                    new Color(0xb00020));
            rowNames.add(fault.description());
        }
        SymbolAxis axis = new SymbolAxis(null, rowNames.toArray(String[]::new));
        axis.setInverted(true);
        axis.setRange(-0.6, rowNames.size() - 0.4);
        XYPlot plot = new XYPlot(dataset, null, axis, renderer);
        plot.setBackgroundPaint(Color.WHITE);
        return plot;
    }

    private void addBar(
            XYSeriesCollection dataset,
            XYLineAndShapeRenderer renderer,
            int row,
            double fromSeconds,
            double toSeconds,
            Color color) {
        XYSeries series = new XYSeries("bar " + dataset.getSeriesCount());
        series.add(Math.max(0, fromSeconds), row);
        series.add(
                toSeconds < 0
                        ? result.lengthSeconds()
                        : Math.min(toSeconds, result.lengthSeconds()),
                row);
        renderer.setSeriesPaint(dataset.getSeriesCount(), color);
        renderer.setSeriesStroke(
                dataset.getSeriesCount(),
                new BasicStroke(BAR_STROKE_PIXELS, BasicStroke.CAP_BUTT, BasicStroke.JOIN_MITER));
        dataset.addSeries(series);
    }
}
