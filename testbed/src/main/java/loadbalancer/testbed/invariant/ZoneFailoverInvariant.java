package loadbalancer.testbed.invariant;

import java.util.Arrays;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Checks the failover from a lost zone from the balancers' log lines. Nine of ten balancers must
 * leave the zone within a time limit, and none may leave a zone that was not lost. Confined to the
 * thread that executes the run.
 */
public final class ZoneFailoverInvariant implements RunInvariant {
    // Also matches "zone N is FAILED_OVER" and "zone N is LEFT", which earlier versions
    // in a mixed fleet log.
    private static final Pattern FAILOVER_PATTERN =
            Pattern.compile(
                    "zone (?:status changed: zone=)?(\\d+)(?: status=| is )"
                            + "(?:FAILED_OVER|LEFT)\\b");
    private static final double MIN_FAILED_OVER_FRACTION = 0.9;

    private final int zone;
    private final long lostAtMicros;
    private final long limitMicros;
    private final long[] failedOverAtMicros;
    private String unexpectedFailover = "";

    /**
     * Creates the invariant.
     *
     * @param zone number of the zone that is lost
     * @param lostAtMicros when the zone is lost, in µs since the start of the run
     * @param limitMicros time after the loss, in µs, within which balancers must leave the zone
     */
    public ZoneFailoverInvariant(int balancerCount, int zone, long lostAtMicros, long limitMicros) {
        this.zone = zone;
        this.lostAtMicros = lostAtMicros;
        this.limitMicros = limitMicros;
        failedOverAtMicros = new long[balancerCount];
        Arrays.fill(failedOverAtMicros, Long.MAX_VALUE);
    }

    @Override
    public void onLogLine(int balancer, long timeMicros, String line) {
        Matcher matcher = FAILOVER_PATTERN.matcher(line);
        if (!matcher.find()) {
            return;
        }
        if (timeMicros < lostAtMicros || Integer.parseInt(matcher.group(1)) != zone) {
            if (unexpectedFailover.isEmpty()) {
                unexpectedFailover =
                        "n" + balancer + " left zone " + matcher.group(1) + ", which was not lost";
            }
        } else {
            failedOverAtMicros[balancer] = Math.min(failedOverAtMicros[balancer], timeMicros);
        }
    }

    @Override
    public void onRunEnd(
            long timeMicros, RequestInvariants requestInvariants, Map<String, Double> metrics) {
        long[] sortedDelays =
                Arrays.stream(failedOverAtMicros)
                        .filter(time -> time < Long.MAX_VALUE)
                        .map(time -> time - lostAtMicros)
                        .sorted()
                        .toArray();
        long inTime = Arrays.stream(sortedDelays).filter(time -> time <= limitMicros).count();
        metrics.put("zone_left_by", (double) sortedDelays.length);
        if (sortedDelays.length > 0) {
            metrics.put("zone_left_p50_s", sortedDelays[sortedDelays.length / 2] / 1e6);
            metrics.put("zone_left_most_s", sortedDelays[sortedDelays.length - 1] / 1e6);
        }
        if (inTime < MIN_FAILED_OVER_FRACTION * failedOverAtMicros.length) {
            requestInvariants.recordViolation(
                    "zone left",
                    timeMicros,
                    inTime
                            + " of "
                            + failedOverAtMicros.length
                            + " balancers left zone "
                            + zone
                            + " within "
                            + limitMicros / 1e6
                            + " s");
        }
        if (!unexpectedFailover.isEmpty()) {
            requestInvariants.recordViolation("zone left", timeMicros, unexpectedFailover);
        }
    }
}
