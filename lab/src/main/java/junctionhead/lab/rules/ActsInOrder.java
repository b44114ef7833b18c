package junctionhead.lab.rules;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The history of what holders of duties did, as their balancers log it with the machine's monotonic
 * clock: in order of time the epochs of a key never go back, and each is one balancer's. So no two
 * of them overlapped. A run in which nobody acted proves nothing, and fails.
 */
public final class ActsInOrder implements Property {
    private static final Pattern ACT =
            Pattern.compile("duties: acts for (\\S+), epoch (\\d+), at (\\d+)");

    private final double idle;
    private final Map<String, List<Act>> acts = new TreeMap<>();

    private record Act(int balancer, long epoch, long at) {}

    /** {@code idle}: s that a key may be without an act at most, between its first and its last. */
    public ActsInOrder(double idle) {
        this.idle = idle;
    }

    @Override
    public void line(int balancer, long at, String line) {
        Matcher found = ACT.matcher(line);
        if (found.find()) {
            acts.computeIfAbsent(found.group(1), k -> new ArrayList<>())
                    .add(
                            new Act(
                                    balancer,
                                    Long.parseLong(found.group(2)),
                                    Long.parseLong(found.group(3))));
        }
    }

    @Override
    public void end(long at, RuleBook rules, Map<String, Double> figures) {
        long all = 0;
        long passed = 0;
        double longest = 0;
        for (Map.Entry<String, List<Act>> history : acts.entrySet()) {
            List<Act> sorted = new ArrayList<>(history.getValue());
            sorted.sort(Comparator.comparingLong(Act::at));
            all += sorted.size();
            for (int i = 1; i < sorted.size(); i++) {
                Act before = sorted.get(i - 1);
                Act act = sorted.get(i);
                if (act.epoch < before.epoch
                        || act.epoch == before.epoch && act.balancer != before.balancer) {
                    rules.breach(
                            "duties in order",
                            at,
                            null,
                            "n"
                                    + act.balancer
                                    + " acted for "
                                    + history.getKey()
                                    + " under epoch "
                                    + act.epoch
                                    + " after n"
                                    + before.balancer
                                    + " under "
                                    + before.epoch);
                }
                passed += act.balancer != before.balancer ? 1 : 0;
                longest = Math.max(longest, (act.at - before.at) / 1e6);
            }
        }
        figures.put("duties_acts", (double) all);
        figures.put("duties_passed_on", (double) passed);
        figures.put("duties_longest_rest_s", longest);
        if (all == 0) {
            rules.breach("duties in order", at, null, "nobody acted");
        } else if (longest > idle) {
            rules.breach(
                    "duties in order",
                    at,
                    null,
                    "nobody acted for " + longest + " s, " + idle + " are allowed");
        }
    }
}
