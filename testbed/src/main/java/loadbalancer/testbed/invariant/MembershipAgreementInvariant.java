package loadbalancer.testbed.invariant;

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
public final class MembershipAgreementInvariant implements RunInvariant {
    // Also as "members: balancer N is STATUS, incarnation N", which earlier versions log in a mixed
    // fleet.
    private static final Pattern STATUS_PATTERN =
            Pattern.compile(
                    "(?:member status changed: member=|members: balancer )(\\d+)(?: status=| is )"
                            + "(ALIVE|SUSPECTED|DEAD|LEFT),? incarnation[= ]\\d+");

    private final long detectionLimitMicros;
    private final boolean pathsFaultFree;
    private final boolean[] running;
    private final boolean[] pausedProcesses;
    private final List<Map<Integer, String>> statusesByObserver = new ArrayList<>();
    private final List<Termination> terminations = new ArrayList<>();
    private final Histogram detectionMicros = new Histogram(3);
    private final List<Violation> violations = new ArrayList<>();
    private long lastStatusChangeMicros;
    private long lastProcessEventMicros;

    /** An end, and who has noticed it. */
    private record Termination(
            int balancer, long timeMicros, boolean[] detectedBy, boolean[] expectedObservers) {}

    /**
     * Makes the property.
     *
     * @param detectionLimitMicros µs, in which an end must be known
     * @param pathsFaultFree whether no fault of the run is about paths between balancers: then
     *     every wrong death counts
     */
    public MembershipAgreementInvariant(
            int balancerCount, long detectionLimitMicros, boolean pathsFaultFree) {
        this.detectionLimitMicros = detectionLimitMicros;
        this.pathsFaultFree = pathsFaultFree;
        running = new boolean[balancerCount];
        pausedProcesses = new boolean[balancerCount];
        for (int balancer = 0; balancer < balancerCount; balancer++) {
            running[balancer] = true;
            statusesByObserver.add(new HashMap<>());
        }
    }

    @Override
    public void onProcessStopped(int balancer, long timeMicros, boolean graceful) {
        running[balancer] = false;
        lastProcessEventMicros = timeMicros;
        boolean[] expectedObservers = running.clone();
        for (int observer = 0; observer < expectedObservers.length; observer++) {
            expectedObservers[observer] &= !pausedProcesses[observer];
        }
        terminations.add(
                new Termination(
                        balancer, timeMicros, new boolean[running.length], expectedObservers));
        terminations.forEach(
                termination ->
                        termination.expectedObservers[balancer] &=
                                termination.detectedBy[balancer]);
    }

    @Override
    public void onProcessStarted(int balancer, long timeMicros) {
        running[balancer] = true;
        lastProcessEventMicros = timeMicros;
        statusesByObserver.get(balancer).clear();
        // One that is back early need not have been missed.
        terminations.stream()
                .filter(
                        termination ->
                                termination.balancer == balancer
                                        && timeMicros - termination.timeMicros
                                                < detectionLimitMicros)
                .forEach(
                        termination ->
                                System.arraycopy(
                                        termination.detectedBy,
                                        0,
                                        termination.expectedObservers,
                                        0,
                                        termination.expectedObservers.length));
    }

    @Override
    public void onPauseChanged(int balancer, long timeMicros, boolean paused) {
        pausedProcesses[balancer] = paused;
        lastProcessEventMicros = timeMicros;
    }

    @Override
    public void onLogLine(int balancer, long timeMicros, String line) {
        Matcher matcher = STATUS_PATTERN.matcher(line);
        if (!matcher.find() || timeMicros < 0) {
            return;
        }
        int member = Integer.parseInt(matcher.group(1));
        String status = matcher.group(2);
        statusesByObserver.get(balancer).put(member, status);
        lastStatusChangeMicros = timeMicros;
        if (!status.equals("DEAD") && !status.equals("LEFT")) {
            return;
        }
        for (Termination termination : terminations) {
            if (termination.balancer == member
                    && !termination.detectedBy[balancer]
                    && termination.expectedObservers[balancer]) {
                termination.detectedBy[balancer] = true;
                detectionMicros.recordValue(Math.max(0, timeMicros - termination.timeMicros));
                if (timeMicros - termination.timeMicros > detectionLimitMicros) {
                    violations.add(
                            new Violation(
                                    "members agree",
                                    timeMicros,
                                    null,
                                    "n"
                                            + balancer
                                            + " noticed the end of n"
                                            + member
                                            + " after "
                                            + (timeMicros - termination.timeMicros) / 1000
                                            + " ms only"));
                }
            }
        }
        if (pathsFaultFree
                && running[member]
                && !pausedProcesses[member]
                && timeMicros - lastProcessEventMicros > detectionLimitMicros) {
            violations.add(
                    new Violation(
                            "members agree",
                            timeMicros,
                            null,
                            "n" + balancer + " holds n" + member + " " + status + ", which runs"));
        }
    }

    @Override
    public void onRunEnd(
            long timeMicros, RequestInvariants requestInvariants, Map<String, Double> metrics) {
        violations.forEach(
                observer ->
                        requestInvariants.recordViolation(
                                observer.rule(),
                                observer.timeMicros(),
                                null,
                                observer.description()));
        long undetected = 0;
        for (Termination termination : terminations) {
            for (int observer = 0; observer < running.length; observer++) {
                if (termination.expectedObservers[observer]
                        && !termination.detectedBy[observer]
                        && termination.timeMicros + detectionLimitMicros < timeMicros) {
                    undetected++;
                    requestInvariants.recordViolation(
                            "members agree",
                            termination.timeMicros,
                            null,
                            "n" + observer + " did not notice the end of n" + termination.balancer);
                }
            }
        }
        for (int observer = 0; observer < running.length; observer++) {
            for (Map.Entry<Integer, String> viewed : statusesByObserver.get(observer).entrySet()) {
                boolean present =
                        viewed.getValue().equals("ALIVE") || viewed.getValue().equals("SUSPECTED");
                if (running[observer] && present != running[viewed.getKey()]) {
                    requestInvariants.recordViolation(
                            "members agree",
                            timeMicros,
                            null,
                            "at the end n"
                                    + observer
                                    + " holds n"
                                    + viewed.getKey()
                                    + " "
                                    + viewed.getValue());
                }
            }
        }
        metrics.put("members_unnoticed", (double) undetected);
        // else the paths' faults came later than any process's
        if (pathsFaultFree) {
            metrics.put(
                    "members_settled_s",
                    Math.max(0, lastStatusChangeMicros - lastProcessEventMicros) / 1e6);
        }
        if (detectionMicros.getTotalCount() > 0) {
            metrics.put("members_noticed_p50_s", detectionMicros.getValueAtPercentile(50) / 1e6);
            metrics.put("members_noticed_p99_s", detectionMicros.getValueAtPercentile(99) / 1e6);
        }
    }
}
