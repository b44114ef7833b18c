package junctionhead.lab.rules;

import java.util.Arrays;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A lost zone as balancers log that they leave it: nine of ten do within a time, and none a zone
 * that was not lost.
 */
public final class ZoneLeft implements Property {
    private static final Pattern LINE = Pattern.compile("zone (\\d+) is LEFT");
    private static final double MOST = 0.9;

    private final int zone;
    private final long lostAt;
    private final long within;
    private final long[] leftAt;
    private String wrong = "";

    /**
     * The zone of that number is lost at {@code lostAt} µs, and is to be left {@code within} µs.
     */
    public ZoneLeft(int balancers, int zone, long lostAt, long within) {
        this.zone = zone;
        this.lostAt = lostAt;
        this.within = within;
        leftAt = new long[balancers];
        Arrays.fill(leftAt, Long.MAX_VALUE);
    }

    @Override
    public void line(int balancer, long at, String line) {
        Matcher found = LINE.matcher(line);
        if (!found.find()) {
            return;
        }
        if (at < lostAt || Integer.parseInt(found.group(1)) != zone) {
            wrong =
                    wrong.isEmpty()
                            ? "n"
                                    + balancer
                                    + " left zone "
                                    + found.group(1)
                                    + ", which was not lost"
                            : wrong;
        } else {
            leftAt[balancer] = Math.min(leftAt[balancer], at);
        }
    }

    @Override
    public void end(long at, RuleBook rules, Map<String, Double> figures) {
        long[] sorted =
                Arrays.stream(leftAt)
                        .filter(t -> t < Long.MAX_VALUE)
                        .map(t -> t - lostAt)
                        .sorted()
                        .toArray();
        long intime = Arrays.stream(sorted).filter(t -> t <= within).count();
        figures.put("zone_left_by", (double) sorted.length);
        if (sorted.length > 0) {
            figures.put("zone_left_p50_s", sorted[sorted.length / 2] / 1e6);
            figures.put("zone_left_most_s", sorted[sorted.length - 1] / 1e6);
        }
        if (intime < MOST * leftAt.length) {
            rules.breach(
                    "zone left",
                    at,
                    null,
                    intime
                            + " of "
                            + leftAt.length
                            + " balancers left zone "
                            + zone
                            + " within "
                            + within / 1e6
                            + " s");
        }
        if (!wrong.isEmpty()) {
            rules.breach("zone left", at, null, wrong);
        }
    }
}
