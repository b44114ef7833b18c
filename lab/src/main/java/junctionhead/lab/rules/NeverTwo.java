package junctionhead.lab.rules;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Something that at most one balancer may have at a time, as balancers log that they take it and
 * give it up. What a process had ends with it; one that stands still keeps what it has.
 */
public final class NeverTwo implements Property {
    private final String what;
    private final Pattern takes;
    private final Pattern leaves;
    // By key
    private final Map<String, SortedSet<Integer>> holders = new HashMap<>();
    private final List<Breach> found = new ArrayList<>();
    private long taken;

    /**
     * Makes the property.
     *
     * @param takes a line by which a balancer says that it has one from now on; its first group, if
     *     any, is which
     * @param leaves a line by which it says that it has not
     */
    public NeverTwo(String what, Pattern takes, Pattern leaves) {
        this.what = what;
        this.takes = takes;
        this.leaves = leaves;
    }

    private static String key(Matcher m) {
        return m.groupCount() > 0 && m.group(1) != null ? m.group(1) : "";
    }

    @Override
    public void down(int balancer, long at, boolean word) {
        if (!word) {
            holders.values().forEach(all -> all.remove(balancer));
        }
    }

    @Override
    public void up(int balancer, long at) {
        holders.values().forEach(all -> all.remove(balancer));
    }

    @Override
    public void paused(int balancer, long at, boolean on) {
        // It has what it had, and may say so when it wakes.
    }

    @Override
    public void line(int balancer, long at, String line) {
        Matcher left = leaves.matcher(line);
        if (left.find()) {
            holders.getOrDefault(key(left), new TreeSet<>()).remove(balancer);
        }
        Matcher begun = takes.matcher(line);
        if (begun.find()) {
            SortedSet<Integer> all = holders.computeIfAbsent(key(begun), k -> new TreeSet<>());
            all.add(balancer);
            taken++;
            if (all.size() > 1) {
                found.add(
                        new Breach(
                                "never two",
                                at,
                                null,
                                what + " " + key(begun) + " is held by balancers " + all));
            }
        }
    }

    @Override
    public void end(long at, RuleBook rules, Map<String, Double> figures) {
        found.forEach(b -> rules.breach(b.rule(), b.at(), null, b.what()));
        // 0 would prove nothing
        figures.put("taken_" + what.replace(' ', '_'), (double) taken);
    }
}
