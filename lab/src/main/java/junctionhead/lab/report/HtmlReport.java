package junctionhead.lab.report;

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
import junctionhead.lab.measure.Result;
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
    private static final int WIDTH = 1100;
    private static final int CURVE_HEIGHT = 320;
    private static final int BAR_HEIGHT = 18;
    private static final float BAR = 8f;
    // Windows that a point is the mean of
    private static final int SMOOTH = 5;

    private final Result result;

    public HtmlReport(Result result) {
        this.result = result;
    }

    /** Writes {@code report.html} into a folder and returns where. */
    public Path write(Path folder) throws IOException {
        Path file = folder.resolve("report.html");
        Files.writeString(file, page());
        return file;
    }

    private String page() throws IOException {
        StringBuilder html =
                new StringBuilder("<!DOCTYPE html><html><head><meta charset='utf-8'><title>")
                        .append(escape(result.scenario()))
                        .append(
                                "</title><style>body{font:14px sans-serif;margin:2em;"
                                        + "max-width:1120px}table{border-collapse:collapse;margin:1em 0}td,th{padding:2px 10px;"
                                        + "text-align:right;border-bottom:1px solid "
                                        + "#ddd}td:first-child,th:first-child{text-align:left}"
                                        + ".bad{color:#b00020}</style></head><body><h1>")
                        .append(escape(result.scenario()))
                        .append("</h1><p>seed ")
                        .append(result.seed())
                        .append(", plan ")
                        .append(result.plan())
                        .append("</p>");
        if (!result.trusted()) {
            html.append("<p class='bad'>This run counts for nothing: ")
                    .append(escape(result.doubt()))
                    .append("</p>");
        }
        html.append(
                result.broken() == 0
                        ? "<p>Every rule was kept.</p>"
                        : "<p class='bad'>"
                                + result.broken()
                                + " rules broken</p><ul class='bad'>");
        result.breaches().forEach(b -> html.append("<li>").append(escape(b)).append("</li>"));
        html.append(result.broken() == 0 ? "" : "</ul>")
                .append(
                        "<img alt='service, processes and faults over time'"
                                + " src='data:image/png;base64,")
                .append(Base64.getEncoder().encodeToString(plot()))
                .append("'>");
        tables(html);
        return html.append("</body></html>\n").toString();
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }

    private void tables(StringBuilder html) {
        html.append(
                "<table><tr><th>fault<th>from (s)<th>until (s)<th>back after (s)<th>unserved in 10 "
                        + "s</tr>");
        result.faults()
                .forEach(
                        f ->
                                html.append(
                                        String.format(
                                                Locale.ROOT,
                                                "<tr><td>%s<td>%.1f<td>%s<td>%s<td>%d</tr>",
                                                escape(f.what()),
                                                f.at(),
                                                time(f.until()),
                                                f.back() < 0 ? "not back" : time(f.back()),
                                                f.unserved())));
        html.append(
                "</table><table><tr><th>class/zone<th>served<th>median (ms)<th>99th "
                        + "percentile<th>most</tr>");
        result.latencies()
                .forEach(
                        (name, l) ->
                                html.append(
                                        String.format(
                                                Locale.ROOT,
                                                "<tr><td>%s<td>%d<td>%.1f<td>%.1f<td>%.1f</tr>",
                                                escape(name),
                                                l.count(),
                                                l.p50(),
                                                l.p99(),
                                                l.most())));
        html.append(
                "</table><table><tr><th>balancer<th>zone<th>lives<th>CPU (s)<th>memory "
                        + "(MB)<th>descriptors"
                        + "<th>datagrams<th>their bytes<th>list calls</tr>");
        result.balancers()
                .forEach(
                        b ->
                                html.append(
                                        String.format(
                                                Locale.ROOT,
                                                "<tr><td>n%d<td>%s<td>%d<td>%.1f<td>%.0f<td>%d<td>%d<td>%d<td>%d</tr>",
                                                b.number(),
                                                escape(b.zone()),
                                                b.lives().size(),
                                                b.cpuS(),
                                                b.memoryMb(),
                                                b.descriptors(),
                                                b.datagrams(),
                                                b.datagramBytes(),
                                                b.listCalls())));
        html.append("</table><table><tr><th>figure<th>value</tr>");
        result.figures()
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

    private static String time(double s) {
        return s < 0 ? "-" : String.format(Locale.ROOT, "%.1f", s);
    }

    private byte[] plot() throws IOException {
        NumberAxis seconds = new NumberAxis("seconds");
        seconds.setRange(0, result.lengthS());
        CombinedDomainXYPlot all = new CombinedDomainXYPlot(seconds);
        all.setGap(6);
        int bars = result.balancers().size() + result.faults().size();
        all.add(curves(), CURVE_HEIGHT);
        if (bars > 0) {
            all.add(bars(), Math.max(60, bars * BAR_HEIGHT));
        }
        ByteArrayOutputStream png = new ByteArrayOutputStream();
        ChartUtils.writeChartAsPNG(
                png,
                new JFreeChart(null, null, all, true),
                WIDTH,
                CURVE_HEIGHT + 100 + Math.max(60, bars * BAR_HEIGHT));
        return png.toByteArray();
    }

    private XYPlot curves() {
        XYSeriesCollection data = new XYSeriesCollection();
        data.addSeries(series("served in time", Result.Slice::served));
        data.addSeries(series("late", Result.Slice::late));
        data.addSeries(series("refused", Result.Slice::refused));
        data.addSeries(series("failed", Result.Slice::failed));
        NumberAxis part = new NumberAxis("part of first tries");
        part.setRange(0, 1.02);
        XYPlot plot = new XYPlot(data, null, part, new StandardXYItemRenderer());
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

    private XYSeries series(String name, ToDoubleFunction<Result.Slice> count) {
        XYSeries series = new XYSeries(name);
        List<Result.Slice> slices = result.slices();
        for (int i = SMOOTH - 1; i < slices.size(); i++) {
            List<Result.Slice> some = slices.subList(i - SMOOTH + 1, i + 1);
            double asked = some.stream().mapToDouble(Result.Slice::asked).sum();
            series.add(
                    slices.get(i).at(),
                    asked == 0 ? 0 : some.stream().mapToDouble(count).sum() / asked);
        }
        return series;
    }

    private XYPlot bars() {
        XYSeriesCollection data = new XYSeriesCollection();
        XYLineAndShapeRenderer renderer = new XYLineAndShapeRenderer(true, false);
        renderer.setDefaultSeriesVisibleInLegend(false);
        List<String> names = new ArrayList<>();
        for (Result.Process b : result.balancers()) {
            for (double[] life : b.lives()) {
                bar(data, renderer, names.size(), life[0], life[1], new Color(0x2a7f3f));
            }
            names.add("n" + b.number() + " (" + b.zone() + ")");
        }
        for (Result.FaultBar f : result.faults()) {
            bar(
                    data,
                    renderer,
                    names.size(),
                    f.at(),
                    f.until() < 0 ? f.at() + 0.2 : f.until(),
                    new Color(0xb00020));
            names.add(f.what());
        }
        SymbolAxis axis = new SymbolAxis(null, names.toArray(String[]::new));
        axis.setInverted(true);
        axis.setRange(-0.6, names.size() - 0.4);
        XYPlot plot = new XYPlot(data, null, axis, renderer);
        plot.setBackgroundPaint(Color.WHITE);
        return plot;
    }

    private void bar(
            XYSeriesCollection data,
            XYLineAndShapeRenderer renderer,
            int row,
            double from,
            double to,
            Color color) {
        XYSeries series = new XYSeries("bar " + data.getSeriesCount());
        series.add(Math.max(0, from), row);
        series.add(to < 0 ? result.lengthS() : Math.min(to, result.lengthS()), row);
        renderer.setSeriesPaint(data.getSeriesCount(), color);
        renderer.setSeriesStroke(
                data.getSeriesCount(),
                new BasicStroke(BAR, BasicStroke.CAP_BUTT, BasicStroke.JOIN_MITER));
        data.addSeries(series);
    }
}
