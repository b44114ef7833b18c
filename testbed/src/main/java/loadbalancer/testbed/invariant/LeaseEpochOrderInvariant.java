package loadbalancer.testbed.invariant;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Checks the actions of lease holders, which balancers log with the time of the machine's monotonic
 * clock. In chronological order the epochs of a key must not decrease, and each epoch must belong
 * to one balancer; this shows that no two holders overlapped. A run without actions proves nothing
 * and counts as a violation. Confined to the thread that executes the run.
 */
public final class LeaseEpochOrderInvariant implements RunInvariant {
    // Also matches "duties: acts for KEY, epoch N, at N", which earlier versions in a
    // mixed fleet log.
    private static final Pattern ACTION_PATTERN =
            Pattern.compile(
                    "(?:lease used: key=|duties: acts for )([^\\s,]+),?"
                            + " epoch[= ](\\d+),? at(?:_micros=| )(\\d+)");

    private static final String RULE = "duties in order";

    private final double maxIdleSeconds;
    private final Map<String, List<LeaseAction>> actionsByKey = new TreeMap<>();

    private record LeaseAction(int balancer, long epoch, long timeMicros) {
        boolean mayFollow(LeaseAction previous) {
            return epoch > previous.epoch
                    || (epoch == previous.epoch && balancer == previous.balancer);
        }
    }

    /**
     * Creates the invariant.
     *
     * @param maxIdleSeconds longest allowed time between two actions for a key, in seconds
     */
    public LeaseEpochOrderInvariant(double maxIdleSeconds) {
        this.maxIdleSeconds = maxIdleSeconds;
    }

    @Override
    public void onLogLine(int balancer, long timeMicros, String line) {
        Matcher matcher = ACTION_PATTERN.matcher(line);
        if (matcher.find()) {
            actionsByKey
                    .computeIfAbsent(matcher.group(1), k -> new ArrayList<>())
                    .add(
                            new LeaseAction(
                                    balancer,
                                    Long.parseLong(matcher.group(2)),
                                    Long.parseLong(matcher.group(3))));
        }
    }

    @Override
    public void onRunEnd(
            long timeMicros, RequestInvariants requestInvariants, Map<String, Double> metrics) {
        long actionCount = 0;
        long handovers = 0;
        double longestIdleSeconds = 0;
        for (Map.Entry<String, List<LeaseAction>> history : actionsByKey.entrySet()) {
            List<LeaseAction> sorted = new ArrayList<>(history.getValue());
            sorted.sort(Comparator.comparingLong(LeaseAction::timeMicros));
            actionCount += sorted.size();
            for (int i = 1; i < sorted.size(); i++) {
                LeaseAction previous = sorted.get(i - 1);
                LeaseAction action = sorted.get(i);
                if (!action.mayFollow(previous)) {
                    requestInvariants.recordViolation(
                            RULE, timeMicros, describe(history.getKey(), previous, action));
                }
                handovers += action.balancer != previous.balancer ? 1 : 0;
                longestIdleSeconds =
                        Math.max(
                                longestIdleSeconds,
                                (action.timeMicros - previous.timeMicros) / 1e6);
            }
        }
        metrics.put("duties_acts", (double) actionCount);
        metrics.put("duties_passed_on", (double) handovers);
        metrics.put("duties_longest_rest_s", longestIdleSeconds);
        if (actionCount == 0) {
            requestInvariants.recordViolation(RULE, timeMicros, "no holder acted");
        } else if (longestIdleSeconds > maxIdleSeconds) {
            requestInvariants.recordViolation(
                    RULE,
                    timeMicros,
                    "no holder acted for "
                            + longestIdleSeconds
                            + " s, "
                            + maxIdleSeconds
                            + " are allowed");
        }
    }

    private static String describe(String key, LeaseAction previous, LeaseAction action) {
        return "n"
                + action.balancer
                + " acted for "
                + key
                + " under epoch "
                + action.epoch
                + " after n"
                + previous.balancer
                + " under "
                + previous.epoch;
    }
}
