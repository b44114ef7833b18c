package loadbalancer.testbed.report;

import java.awt.BasicStroke;
import java.awt.Color;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
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
 * Plots a run over time: the outcomes of requests as lines, and below them the processes of each
 * balancer and each fault as bars. Not thread-safe.
 */
final class TimelinePlot {
    private static final int WIDTH_PIXELS = 1100;
    private static final int SERVICE_HEIGHT_PIXELS = 320;
    private static final int BAR_HEIGHT_PIXELS = 18;
    private static final int MIN_BARS_HEIGHT_PIXELS = 60;
    private static final int AXIS_AND_LEGEND_PIXELS = 100;
    private static final int GAP_PIXELS = 6;
    private static final float LINE_STROKE_PIXELS = 1.6f;
    private static final float BAR_STROKE_PIXELS = 8f;
    // Length of the bar of a fault that has no end time
    private static final double OPEN_ENDED_FAULT_BAR_SECONDS = 0.2;
    // Number of slices that are averaged for one point
    private static final int SMOOTHING_SLICES = 5;
    private static final Color GREEN = new Color(0x2a7f3f);
    private static final Color YELLOW = new Color(0xd18f00);
    private static final Color BLUE = new Color(0x2b5ea8);
    private static final Color RED = new Color(0xb00020);

    private final RunResult result;

    /** Creates the plot of a run. */
    TimelinePlot(RunResult result) {
        this.result = result;
    }

    /**
     * Renders the plot as a PNG image.
     *
     * @throws IOException if the image can't be encoded
     */
    byte[] renderPng() throws IOException {
        NumberAxis timeAxis = new NumberAxis("seconds");
        timeAxis.setRange(0, result.lengthSeconds());
        CombinedDomainXYPlot combinedPlot = new CombinedDomainXYPlot(timeAxis);
        combinedPlot.setGap(GAP_PIXELS);
        int barCount = result.balancers().size() + result.faults().size();
        int barsHeightPixels = Math.max(MIN_BARS_HEIGHT_PIXELS, barCount * BAR_HEIGHT_PIXELS);
        combinedPlot.add(servicePlot(), SERVICE_HEIGHT_PIXELS);
        if (barCount > 0) {
            combinedPlot.add(barPlot(), barsHeightPixels);
        }
        ByteArrayOutputStream png = new ByteArrayOutputStream();
        ChartUtils.writeChartAsPNG(
                png,
                new JFreeChart(null, null, combinedPlot, true),
                WIDTH_PIXELS,
                SERVICE_HEIGHT_PIXELS + AXIS_AND_LEGEND_PIXELS + barsHeightPixels);
        return png.toByteArray();
    }

    private XYPlot servicePlot() {
        XYSeriesCollection dataset = new XYSeriesCollection();
        dataset.addSeries(smoothedSeries("served in time", RunResult.TimeSlice::served));
        dataset.addSeries(smoothedSeries("late", RunResult.TimeSlice::late));
        dataset.addSeries(smoothedSeries("refused", RunResult.TimeSlice::rejected));
        dataset.addSeries(smoothedSeries("failed", RunResult.TimeSlice::failed));
        NumberAxis fractionAxis = new NumberAxis("fraction of requests");
        fractionAxis.setRange(0, 1.02);
        XYPlot plot = new XYPlot(dataset, null, fractionAxis, new StandardXYItemRenderer());
        List<Color> colors = List.of(GREEN, YELLOW, BLUE, RED);
        for (int i = 0; i < colors.size(); i++) {
            plot.getRenderer().setSeriesPaint(i, colors.get(i));
            plot.getRenderer().setSeriesStroke(i, new BasicStroke(LINE_STROKE_PIXELS));
        }
        plot.setBackgroundPaint(Color.WHITE);
        plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
        return plot;
    }

    private XYSeries smoothedSeries(String name, ToDoubleFunction<RunResult.TimeSlice> count) {
        XYSeries series = new XYSeries(name);
        List<RunResult.TimeSlice> slices = result.slices();
        for (int i = SMOOTHING_SLICES - 1; i < slices.size(); i++) {
            List<RunResult.TimeSlice> smoothed = slices.subList(i - SMOOTHING_SLICES + 1, i + 1);
            double requested = smoothed.stream().mapToDouble(RunResult.TimeSlice::requested).sum();
            series.add(
                    slices.get(i).startSeconds(),
                    requested == 0 ? 0 : smoothed.stream().mapToDouble(count).sum() / requested);
        }
        return series;
    }

    private XYPlot barPlot() {
        XYSeriesCollection dataset = new XYSeriesCollection();
        XYLineAndShapeRenderer renderer = new XYLineAndShapeRenderer(true, false);
        renderer.setDefaultSeriesVisibleInLegend(false);
        List<String> rowNames = new ArrayList<>();
        for (RunResult.BalancerUsage balancer : result.balancers()) {
            for (RunResult.Lifetime lifetime : balancer.lifetimes()) {
                addBar(
                        dataset,
                        renderer,
                        rowNames.size(),
                        lifetime.startSeconds(),
                        lifetime.endSeconds(),
                        GREEN);
            }
            rowNames.add("n" + balancer.number() + " (" + balancer.zone() + ")");
        }
        for (RunResult.FaultImpact fault : result.faults()) {
            double endSeconds =
                    fault.endSeconds() < 0
                            ? fault.startSeconds() + OPEN_ENDED_FAULT_BAR_SECONDS
                            : fault.endSeconds();
            addBar(dataset, renderer, rowNames.size(), fault.startSeconds(), endSeconds, RED);
            rowNames.add(fault.description());
        }
        return plotWithRowNames(dataset, renderer, rowNames);
    }

    private static XYPlot plotWithRowNames(
            XYSeriesCollection dataset, XYLineAndShapeRenderer renderer, List<String> rowNames) {
        SymbolAxis axis = new SymbolAxis(null, rowNames.toArray(String[]::new));
        axis.setInverted(true);
        axis.setRange(-0.6, rowNames.size() - 0.4);
        XYPlot plot = new XYPlot(dataset, null, axis, renderer);
        plot.setBackgroundPaint(Color.WHITE);
        return plot;
    }

    // A bar with a negative end extends to the end of the run.
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
