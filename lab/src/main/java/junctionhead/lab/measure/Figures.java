package junctionhead.lab.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import junctionhead.lab.plan.Plan;
import junctionhead.lab.rules.Breach;
import junctionhead.lab.rules.RuleBook;

/** Makes the result of a run, real or simulated, of what was counted. */
public final class Figures {
    // µs after a fault in which the unserved are counted
    private static final long AFTER = 10_000_000;

    private Figures() {}

    /**
     * The result; a property over time that the scenario expects and that does not hold becomes a
     * breach.
     *
     * @param figures what only the caller could measure
     * @param doubt why the run counts for nothing, or empty
     */
    public static Result of(
            Plan plan,
            Windows windows,
            RuleBook rules,
            SortedMap<String, Double> figures,
            List<Result.Process> balancers,
            String doubt) {
        long length = plan.scenario().length();
        figures.put("service", windows.service());
        figures.put("served_share", windows.servedShare(0, length));
        figures.put("unserved", (double) windows.unserved(0, length));
        List<Result.FaultBar> bars = new ArrayList<>();
        for (Plan.Fault f : plan.faults()) {
            long back = windows.backAfter(f.at());
            int unserved = windows.unserved(f.at(), f.at() + AFTER);
            String name = f.kind().word() + "_" + (bars.size() + 1);
            bars.add(
                    new Result.FaultBar(
                            f.kind().word()
                                    + " "
                                    + f.text().on()
                                    + (f.text().to() == null ? "" : " to " + f.text().to()),
                            f.at() / 1e6,
                            f.until() < 0 ? -1 : f.until() / 1e6,
                            back < 0 ? -1 : back / 1e6,
                            unserved));
            figures.put(name + "_back_s", (back < 0 ? length - f.at() : back) / 1e6);
            figures.put(name + "_unserved", (double) unserved);
        }
        Double within = plan.scenario().expect().backWithinS();
        if (within != null) {
            bars.stream()
                    .filter(b -> b.back() < 0 || b.back() > within)
                    .forEach(
                            b ->
                                    rules.breach(
                                            "back in time",
                                            Math.round(b.at() * 1e6),
                                            null,
                                            "service was not back within "
                                                    + within
                                                    + " s of "
                                                    + b.what()));
        }
        return new Result(
                plan.scenario().name(),
                plan.seed(),
                plan.digest(),
                doubt.isEmpty(),
                doubt,
                plan.scenario().lengthS(),
                rules.broken(),
                rules.breaches().stream().map(Breach::toString).toList(),
                figures,
                latencies(windows),
                slices(windows),
                bars,
                balancers);
    }

    private static SortedMap<String, Result.Latency> latencies(Windows windows) {
        SortedMap<String, Result.Latency> latencies = new TreeMap<>();
        windows.latencies()
                .forEach(
                        (name, h) ->
                                latencies.put(
                                        name,
                                        new Result.Latency(
                                                h.getTotalCount(),
                                                h.getValueAtPercentile(50) / 1e3,
                                                h.getValueAtPercentile(99) / 1e3,
                                                h.getMaxValue() / 1e3)));
        return latencies;
    }

    private static List<Result.Slice> slices(Windows windows) {
        List<Result.Slice> slices = new ArrayList<>();
        for (int i = 0; i < windows.all().size(); i++) {
            Windows.Window w = windows.all().get(i);
            slices.add(
                    new Result.Slice(
                            i * Windows.WINDOW / 1e6,
                            w.asked(),
                            w.served(),
                            w.late(),
                            w.refused(),
                            w.failed()));
        }
        return slices;
    }
}
