package loadbalancer.testbed.invariant;

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
public final class MutualExclusionInvariant implements RunInvariant {
    private final String resource;
    private final Pattern acquirePattern;
    private final Pattern releasePattern;
    // By key
    private final Map<String, SortedSet<Integer>> holdersByKey = new HashMap<>();
    private final List<Violation> violations = new ArrayList<>();
    private long acquisitions;

    /**
     * Makes the property.
     *
     * @param acquirePattern a line by which a balancer says that it has one from now on; its first
     *     group, if any, is which
     * @param releasePattern a line by which it says that it has not
     */
    public MutualExclusionInvariant(
            String resource, Pattern acquirePattern, Pattern releasePattern) {
        this.resource = resource;
        this.acquirePattern = acquirePattern;
        this.releasePattern = releasePattern;
    }

    private static String key(Matcher matcher) {
        return matcher.groupCount() > 0 && matcher.group(1) != null ? matcher.group(1) : "";
    }

    @Override
    public void onProcessStopped(int balancer, long timeMicros, boolean graceful) {
        if (!graceful) {
            holdersByKey.values().forEach(holders -> holders.remove(balancer));
        }
    }

    @Override
    public void onProcessStarted(int balancer, long timeMicros) {
        holdersByKey.values().forEach(holders -> holders.remove(balancer));
    }

    @Override
    public void onPauseChanged(int balancer, long timeMicros, boolean paused) {
        // It has what it had, and may say so when it wakes.
    }

    @Override
    public void onLogLine(int balancer, long timeMicros, String line) {
        Matcher release = releasePattern.matcher(line);
        if (release.find()) {
            holdersByKey.getOrDefault(key(release), new TreeSet<>()).remove(balancer);
        }
        Matcher acquisition = acquirePattern.matcher(line);
        if (acquisition.find()) {
            SortedSet<Integer> holders =
                    holdersByKey.computeIfAbsent(key(acquisition), k -> new TreeSet<>());
            holders.add(balancer);
            acquisitions++;
            if (holders.size() > 1) {
                violations.add(
                        new Violation(
                                "never two",
                                timeMicros,
                                null,
                                resource
                                        + " "
                                        + key(acquisition)
                                        + " is held by balancers "
                                        + holders));
            }
        }
    }

    @Override
    public void onRunEnd(
            long timeMicros, RequestInvariants requestInvariants, Map<String, Double> metrics) {
        violations.forEach(
                violation ->
                        requestInvariants.recordViolation(
                                violation.rule(),
                                violation.timeMicros(),
                                null,
                                violation.description()));
        // 0 would prove nothing
        metrics.put("taken_" + resource.replace(' ', '_'), (double) acquisitions);
    }
}
