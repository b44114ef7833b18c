package junctionhead.lab.rules;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.HdrHistogram.Histogram;

/**
 * Membership as balancers log it: who has ended is known by all others within a time, nobody who
 * runs and whose paths are whole is held dead, and at the end all that run hold each other present.
 */
public final class MembersAgree implements Property {
    private static final Pattern LINE =
            Pattern.compile(
                    "members: balancer (\\d+) is (ALIVE|SUSPECTED|DEAD|LEFT), incarnation (\\d+)");

    private final long within;
    private final boolean pathsWhole;
    private final boolean[] running;
    private final boolean[] still;
    private final List<Map<Integer, String>> views = new ArrayList<>();
    private final List<End> ends = new ArrayList<>();
    private final Histogram noticed = new Histogram(3);
    private final List<Breach> wrong = new ArrayList<>();
    private long lastChange;
    private long lastEvent;

    /** An end, and who has noticed it. */
    private record End(int balancer, long at, boolean[] noticed, boolean[] owing) {}

    /**
     * Makes the property.
     *
     * @param within µs, in which an end must be known
     * @param pathsWhole whether no fault of the run is about paths between balancers: then every
     *     wrong death counts
     */
    public MembersAgree(int balancers, long within, boolean pathsWhole) {
        this.within = within;
        this.pathsWhole = pathsWhole;
        running = new boolean[balancers];
        still = new boolean[balancers];
        for (int b = 0; b < balancers; b++) {
            running[b] = true;
            views.add(new HashMap<>());
        }
    }

    @Override
    public void down(int balancer, long at, boolean word) {
        running[balancer] = false;
        lastEvent = at;
        boolean[] owing = running.clone();
        for (int b = 0; b < owing.length; b++) {
            owing[b] &= !still[b];
        }
        ends.add(new End(balancer, at, new boolean[running.length], owing));
        ends.forEach(end -> end.owing[balancer] &= end.noticed[balancer]);
    }

    @Override
    public void up(int balancer, long at) {
        running[balancer] = true;
        lastEvent = at;
        views.get(balancer).clear();
        // One that is back early need not have been missed.
        ends.stream()
                .filter(end -> end.balancer == balancer && at - end.at < within)
                .forEach(end -> System.arraycopy(end.noticed, 0, end.owing, 0, end.owing.length));
    }

    @Override
    public void paused(int balancer, long at, boolean on) {
        still[balancer] = on;
        lastEvent = at;
    }

    @Override
    public void line(int balancer, long at, String line) {
        Matcher found = LINE.matcher(line);
        if (!found.find() || at < 0) {
            return;
        }
        int about = Integer.parseInt(found.group(1));
        String status = found.group(2);
        views.get(balancer).put(about, status);
        lastChange = at;
        if (!status.equals("DEAD") && !status.equals("LEFT")) {
            return;
        }
        for (End end : ends) {
            if (end.balancer == about && !end.noticed[balancer] && end.owing[balancer]) {
                end.noticed[balancer] = true;
                noticed.recordValue(Math.max(0, at - end.at));
                if (at - end.at > within) {
                    wrong.add(
                            new Breach(
                                    "members agree",
                                    at,
                                    null,
                                    "n"
                                            + balancer
                                            + " noticed the end of n"
                                            + about
                                            + " after "
                                            + (at - end.at) / 1000
                                            + " ms only"));
                }
            }
        }
        if (pathsWhole && running[about] && !still[about] && at - lastEvent > within) {
            wrong.add(
                    new Breach(
                            "members agree",
                            at,
                            null,
                            "n" + balancer + " holds n" + about + " " + status + ", which runs"));
        }
    }

    @Override
    public void end(long at, RuleBook rules, Map<String, Double> figures) {
        wrong.forEach(b -> rules.breach(b.rule(), b.at(), null, b.what()));
        long missing = 0;
        for (End end : ends) {
            for (int b = 0; b < running.length; b++) {
                if (end.owing[b] && !end.noticed[b] && end.at + within < at) {
                    missing++;
                    rules.breach(
                            "members agree",
                            end.at,
                            null,
                            "n" + b + " did not notice the end of n" + end.balancer);
                }
            }
        }
        for (int b = 0; b < running.length; b++) {
            for (Map.Entry<Integer, String> m : views.get(b).entrySet()) {
                boolean present = m.getValue().equals("ALIVE") || m.getValue().equals("SUSPECTED");
                if (running[b] && present != running[m.getKey()]) {
                    rules.breach(
                            "members agree",
                            at,
                            null,
                            "at the end n" + b + " holds n" + m.getKey() + " " + m.getValue());
                }
            }
        }
        figures.put("members_unnoticed", (double) missing);
        // else the paths' faults came later than any process's
        if (pathsWhole) {
            figures.put("members_settled_s", Math.max(0, lastChange - lastEvent) / 1e6);
        }
        if (noticed.getTotalCount() > 0) {
            figures.put("members_noticed_p50_s", noticed.getValueAtPercentile(50) / 1e6);
            figures.put("members_noticed_p99_s", noticed.getValueAtPercentile(99) / 1e6);
        }
    }
}
