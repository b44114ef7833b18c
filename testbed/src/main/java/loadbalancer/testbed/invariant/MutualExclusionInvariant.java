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
 * Checks that at most one balancer holds a resource at a time. Balancers log when they acquire and
 * release it. A killed process releases what it held; a paused process keeps it. Confined to the
 * thread that executes the run.
 */
public final class MutualExclusionInvariant implements RunInvariant {
    private final String resource;
    private final Pattern acquirePattern;
    private final Pattern releasePattern;
    private final Map<String, SortedSet<Integer>> holdersByKey = new HashMap<>();
    private final List<Violation> violations = new ArrayList<>();
    private long acquisitions;

    /**
     * Creates the invariant.
     *
     * @param resource name of the resource in violations and metrics
     * @param acquirePattern matches the log line of an acquisition; its first group, if any, is the
     *     key
     * @param releasePattern matches the log line of a release, with the key in the same way
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
                        Violation.ofRun(
                                "never two",
                                timeMicros,
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
        violations.forEach(requestInvariants::record);
        // The metric reveals a run without acquisitions, which proves nothing.
        metrics.put("taken_" + resource.replace(' ', '_'), (double) acquisitions);
    }
}
