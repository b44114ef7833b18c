package loadbalancer.testbed.invariant;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.HdrHistogram.Histogram;

/**
 * Checks membership from the balancers' log lines. All others must detect the end of a process
 * within a time limit, no running balancer with working paths may be considered dead, and at the
 * end of the run all running balancers must consider each other present. Confined to the thread
 * that executes the run.
 */
public final class MembershipAgreementInvariant implements RunInvariant {
    // Also matches "members: balancer N is STATUS, incarnation N", which earlier versions in a
    // mixed fleet log.
    private static final Pattern STATUS_PATTERN =
            Pattern.compile(
                    "(?:member status changed: member=|members: balancer )(\\d+)(?: status=| is )"
                            + "(ALIVE|SUSPECTED|DEAD|LEFT),? incarnation[= ]\\d+");

    private static final String RULE = "members agree";

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

    /**
     * The end of a process.
     *
     * @param detectedBy for each balancer, whether it has logged the end of the process
     * @param expectedObservers for each balancer, whether it must log the end of the process
     */
    private record Termination(
            int balancer, long timeMicros, boolean[] detectedBy, boolean[] expectedObservers) {}

    /**
     * Creates the invariant.
     *
     * @param detectionLimitMicros time in µs within which the end of a process must be detected
     * @param pathsFaultFree whether no fault of the run affects paths between balancers; only then
     *     is it a violation to consider a running balancer dead
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
        // A process that restarts within the detection limit need not be detected.
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
            if (termination.balancer == member) {
                recordDetection(termination, balancer, timeMicros);
            }
        }
        if (pathsFaultFree
                && running[member]
                && !pausedProcesses[member]
                && timeMicros - lastProcessEventMicros > detectionLimitMicros) {
            violations.add(
                    Violation.ofRun(
                            RULE,
                            timeMicros,
                            "n"
                                    + balancer
                                    + " considers n"
                                    + member
                                    + " "
                                    + status
                                    + ", but it runs"));
        }
    }

    private void recordDetection(Termination termination, int observer, long timeMicros) {
        if (termination.detectedBy[observer] || !termination.expectedObservers[observer]) {
            return;
        }
        long delayMicros = timeMicros - termination.timeMicros;
        termination.detectedBy[observer] = true;
        detectionMicros.recordValue(Math.max(0, delayMicros));
        if (delayMicros > detectionLimitMicros) {
            violations.add(
                    Violation.ofRun(
                            RULE,
                            timeMicros,
                            "n"
                                    + observer
                                    + " detected the end of n"
                                    + termination.balancer
                                    + " only after "
                                    + delayMicros / 1000
                                    + " ms"));
        }
    }

    @Override
    public void onRunEnd(
            long timeMicros, RequestInvariants requestInvariants, Map<String, Double> metrics) {
        violations.forEach(requestInvariants::record);
        long undetected = recordUndetected(timeMicros, requestInvariants);
        checkFinalViews(timeMicros, requestInvariants);
        metrics.put("members_unnoticed", (double) undetected);
        // Path faults may change statuses long after the last process event.
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

    private long recordUndetected(long timeMicros, RequestInvariants requestInvariants) {
        long undetected = 0;
        for (Termination termination : terminations) {
            for (int observer = 0; observer < running.length; observer++) {
                if (termination.expectedObservers[observer]
                        && !termination.detectedBy[observer]
                        && termination.timeMicros + detectionLimitMicros < timeMicros) {
                    undetected++;
                    requestInvariants.recordViolation(
                            RULE,
                            termination.timeMicros,
                            "n" + observer + " did not detect the end of n" + termination.balancer);
                }
            }
        }
        return undetected;
    }

    private void checkFinalViews(long timeMicros, RequestInvariants requestInvariants) {
        for (int observer = 0; observer < running.length; observer++) {
            if (!running[observer]) {
                continue;
            }
            for (Map.Entry<Integer, String> viewed : statusesByObserver.get(observer).entrySet()) {
                boolean present =
                        viewed.getValue().equals("ALIVE") || viewed.getValue().equals("SUSPECTED");
                if (present != running[viewed.getKey()]) {
                    requestInvariants.recordViolation(
                            RULE,
                            timeMicros,
                            "at the end n"
                                    + observer
                                    + " considers n"
                                    + viewed.getKey()
                                    + " "
                                    + viewed.getValue());
                }
            }
        }
    }
}
