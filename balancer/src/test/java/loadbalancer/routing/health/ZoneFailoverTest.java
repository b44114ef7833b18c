package loadbalancer.routing.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.stream.IntStream;
import loadbalancer.routing.RoutingEngineHarness;
import loadbalancer.routing.api.DeduplicationScope;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointStatus;
import loadbalancer.routing.api.Idempotency;
import loadbalancer.routing.endpoint.EndpointState;
import loadbalancer.routing.endpoint.PendingRequest;
import loadbalancer.routing.endpoint.ZoneTally;
import org.junit.jupiter.api.Test;

class ZoneFailoverTest {
    private static final ZoneTally HEALTHY = new ZoneTally(10, 0, 6);
    private static final ZoneTally HALF_FAILED = new ZoneTally(10, 5, 3);
    private static final ZoneTally LOST = new ZoneTally(10, 6, 0);
    private static final ZoneTally IDLE = new ZoneTally(10, 0, 0);
    private static final long UPDATE_INTERVAL_MICROS = 100_000;

    private final ZoneFailover zones = new ZoneFailover();
    private final List<String> logLines = new ArrayList<>();
    private long now = 1_000_000_000;

    private void update(int rounds, ZoneTally... tallies) {
        for (int i = 0; i < rounds; i++) {
            now += UPDATE_INTERVAL_MICROS;
            zones.update(List.of(tallies), false, now, logLines::add);
        }
    }

    private List<ZoneStatus> statuses(int count) {
        return IntStream.range(0, count).mapToObj(zone -> zones.healthOf(zone).status).toList();
    }

    private static EndpointState endpoint(int zone) {
        return new EndpointState(
                new Endpoint("s" + zone, EndpointStatus.UP, 0, 1, 0, 0, zone), 0, 1);
    }

    private boolean allowsAttempt(int zone, boolean idempotent) {
        PendingRequest request =
                new PendingRequest(
                        "r",
                        0,
                        RoutingEngineHarness.requestClass(
                                Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
                        0,
                        now,
                        1_000_000,
                        now + 500_000,
                        false);
        return zones.allowsAttempt(endpoint(zone), request, idempotent, now);
    }

    @Test
    void lostZoneFailsOverAndIsProbed() {
        update(1, HEALTHY, HEALTHY);
        update(4, HEALTHY, LOST);
        assertEquals(List.of(ZoneStatus.HEALTHY, ZoneStatus.FAILED_OVER), statuses(2));
        assertTrue(allowsAttempt(0, false) && !allowsAttempt(1, false) && allowsAttempt(1, true));
        zones.onAttemptStarted(endpoint(1), now);
        assertFalse(allowsAttempt(1, true));
        assertEquals(
                List.of(
                        "zone 1 is SUSPECT: 6 of 10 servers out, 0 answering",
                        "zone 1 is FAILED_OVER: 6 of 10 servers out, 0 answering"),
                logLines);
    }

    @Test
    void recoveryAdvancesInStepsByServedRequests() {
        update(4, HEALTHY, LOST);
        update(20, HEALTHY, IDLE);
        // Nobody has answered yet
        assertEquals(ZoneStatus.FAILED_OVER, zones.healthOf(1).status);
        zones.onAttemptEnded(endpoint(1), true);
        update(1, HEALTHY, HEALTHY);
        // One answer is little
        assertEquals(ZoneStatus.FAILED_OVER, zones.healthOf(1).status);
        zones.onAttemptEnded(endpoint(1), true);
        update(1, HEALTHY, HEALTHY);
        assertEquals(0.25, zones.healthOf(1).admittedFraction);
        update(10, HEALTHY, HEALTHY);
        // Nothing was served in this step
        assertEquals(0.25, zones.healthOf(1).admittedFraction);
        for (double expectedFraction : new double[] {0.5, 1}) {
            zones.onAttemptEnded(endpoint(1), true);
            update(3, HEALTHY, HEALTHY);
            assertEquals(expectedFraction, zones.healthOf(1).admittedFraction);
        }
        assertEquals(ZoneStatus.HEALTHY, zones.healthOf(1).status);
    }

    @Test
    void recoveryIsImmediateWhenCapacityIsShort() {
        update(4, HEALTHY, LOST);
        assertEquals(ZoneStatus.FAILED_OVER, zones.healthOf(1).status);
        zones.update(List.of(HEALTHY, HEALTHY), true, now += UPDATE_INTERVAL_MICROS, logLines::add);
        // Short or not, somebody has to answer
        assertEquals(ZoneStatus.FAILED_OVER, zones.healthOf(1).status);
        zones.onAttemptEnded(endpoint(1), true);
        zones.update(List.of(HEALTHY, HEALTHY), true, now += UPDATE_INTERVAL_MICROS, logLines::add);
        assertEquals(ZoneStatus.RECOVERING, zones.healthOf(1).status);
        assertEquals(1, zones.healthOf(1).admittedFraction);
        assertTrue(allowsAttempt(1, false));
        zones.onAttemptEnded(endpoint(1), true);
        zones.update(List.of(HEALTHY, HEALTHY), true, now += UPDATE_INTERVAL_MICROS, logLines::add);
        assertEquals(ZoneStatus.HEALTHY, zones.healthOf(1).status);
    }

    @Test
    void failedRecoveryExtendsFailover() {
        List<Long> failoverLengths = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            update(4, HEALTHY, LOST);
            assertEquals(ZoneStatus.FAILED_OVER, zones.healthOf(1).status);
            long failedOverAt = now;
            while (zones.healthOf(1).status == ZoneStatus.FAILED_OVER) {
                zones.onAttemptEnded(endpoint(1), true);
                update(1, HEALTHY, HEALTHY);
            }
            failoverLengths.add((now - failedOverAt) / UPDATE_INTERVAL_MICROS);
            zones.onAttemptEnded(endpoint(1), false);
        }
        assertTrue(
                failoverLengths.get(2) >= 2 * failoverLengths.get(0) - 1
                        && failoverLengths.get(3) > failoverLengths.get(2),
                failoverLengths.toString());
        assertTrue(
                failoverLengths.get(7) <= 161
                        && failoverLengths.get(7) == failoverLengths.get(6).longValue(),
                failoverLengths.toString());
    }

    @Test
    void partialLossAndOwnIsolationKeepZone() {
        update(60, HEALTHY, HALF_FAILED);
        // Single servers are to blame
        assertEquals(ZoneStatus.HEALTHY, zones.healthOf(1).status);
        update(10, LOST, LOST, LOST);
        assertTrue(
                statuses(3).stream().noneMatch(status -> status == ZoneStatus.FAILED_OVER),
                statuses(3).toString());
        ZoneFailover other = new ZoneFailover();
        for (int i = 0; i < 5; i++) {
            other.update(
                    List.of(HEALTHY, new ZoneTally(1, 1, 0)),
                    false,
                    now += UPDATE_INTERVAL_MICROS,
                    logLines::add);
        }
        assertEquals(ZoneStatus.FAILED_OVER, other.healthOf(1).status);
        // Of servers that name none
        assertEquals(ZoneStatus.HEALTHY, other.healthOf(-1).status);
    }

    // ------------------------------------------------------------ all that may be seen, in any
    // order

    private static final List<ZoneTally> OBSERVATIONS = List.of(HEALTHY, HALF_FAILED, LOST, IDLE);

    /** A way of looking at three zones, and what was so before. */
    private record ZoneModel(List<ZoneHealth> zones, long now) {}

    private static ZoneFailover restore(ZoneModel model) {
        ZoneFailover failover = new ZoneFailover();
        for (int i = 0; i < 3; i++) {
            copy(model.zones.get(i), failover.healthOf(i));
        }
        return failover;
    }

    private static void copy(ZoneHealth source, ZoneHealth target) {
        target.status = source.status;
        target.statusSinceMicros = source.statusSinceMicros;
        target.suspectCooldownUntilMicros = source.suspectCooldownUntilMicros;
        target.lastProbedAtMicros = source.lastProbedAtMicros;
        target.recentFailovers = source.recentFailovers;
        target.admittedFraction = source.admittedFraction;
        target.successes = source.successes;
        target.connectFailures = source.connectFailures;
    }

    private static List<Object> fingerprint(ZoneModel model) {
        List<Object> values = new ArrayList<>();
        for (ZoneHealth zone : model.zones) {
            values.addAll(
                    Arrays.asList(
                            zone.status,
                            Math.min(
                                    30,
                                    (model.now - zone.statusSinceMicros) / UPDATE_INTERVAL_MICROS),
                            Math.min(4, zone.recentFailovers),
                            zone.admittedFraction,
                            Math.min(2, zone.successes),
                            Math.min(2, zone.connectFailures),
                            Math.max(0, zone.suspectCooldownUntilMicros - model.now)
                                    / UPDATE_INTERVAL_MICROS));
        }
        return values;
    }

    private interface TransitionCheck {
        /** What is wrong with a step from one to the other; null: nothing. */
        String findViolation(ZoneModel before, ZoneModel after, List<ZoneTally> observed);
    }

    private static String explore(
            int stateCount,
            TransitionCheck check,
            BiPredicate<ZoneFailover, ZoneModel> plantFault) {
        Set<List<Object>> visited = new HashSet<>();
        Deque<ZoneModel> frontier =
                new ArrayDeque<>(
                        List.of(
                                new ZoneModel(
                                        List.of(
                                                new ZoneHealth(),
                                                new ZoneHealth(),
                                                new ZoneHealth()),
                                        1_000_000_000)));
        while (!frontier.isEmpty() && visited.size() < stateCount) {
            ZoneModel before =
                    frontier.size() % 2 == 0 ? frontier.pollLast() : frontier.pollFirst();
            for (int i = 0; i < 64 * 3; i++) {
                List<ZoneTally> observed =
                        List.of(
                                OBSERVATIONS.get(i & 3),
                                OBSERVATIONS.get(i >> 2 & 3),
                                OBSERVATIONS.get(i >> 4 & 3));
                ZoneFailover failover = restore(before);
                for (int zone = 0; zone < 3 && i >= 64; zone++) {
                    zones(failover, zone, i >= 128);
                }
                failover.update(observed, false, before.now + UPDATE_INTERVAL_MICROS, line -> {});
                plantFault.test(failover, before);
                ZoneModel after =
                        new ZoneModel(
                                List.of(
                                        failover.healthOf(0),
                                        failover.healthOf(1),
                                        failover.healthOf(2)),
                                before.now + UPDATE_INTERVAL_MICROS);
                String violation = check.findViolation(before, after, observed);
                if (violation != null) {
                    return violation;
                }
                if (visited.add(fingerprint(after))) {
                    frontier.add(after);
                }
            }
        }
        return visited.size() >= stateCount ? "" : "only " + visited.size() + " states";
    }

    private static void zones(ZoneFailover failover, int zone, boolean success) {
        failover.onAttemptEnded(endpoint(zone), success);
        failover.onAttemptEnded(endpoint(zone), success);
    }

    private static String checkTransition(
            ZoneModel before, ZoneModel after, List<ZoneTally> observed) {
        int failedOverCount = 0;
        for (int i = 0; i < 3; i++) {
            ZoneHealth zoneBefore = before.zones.get(i);
            ZoneHealth zoneAfter = after.zones.get(i);
            failedOverCount += zoneAfter.status == ZoneStatus.FAILED_OVER ? 1 : 0;
            if (zoneBefore.status == ZoneStatus.FAILED_OVER
                    && zoneAfter.status != ZoneStatus.FAILED_OVER
                    && zoneAfter.status != ZoneStatus.RECOVERING) {
                return "from left to " + zoneAfter.status;
            }
            if (zoneAfter.status == ZoneStatus.RECOVERING
                    && zoneAfter.admittedFraction
                            > 2 * Math.max(0.125, zoneBefore.admittedFraction)) {
                return "a step from "
                        + zoneBefore.admittedFraction
                        + " to "
                        + zoneAfter.admittedFraction;
            }
            if (zoneAfter.status == ZoneStatus.SUSPECT
                    && after.now - zoneAfter.statusSinceMicros > 2_000_000) {
                return "doubt without an end";
            }
            if (zoneAfter.status == ZoneStatus.FAILED_OVER
                    && zoneBefore.status == ZoneStatus.SUSPECT
                    && observed.get(i).responding() > 0) {
                return "left while it answers";
            }
        }
        return failedOverCount == 3 ? "all are left" : null;
    }

    @Test
    void exploredStatesKeepInvariants() {
        assertEquals(
                "", explore(60_000, ZoneFailoverTest::checkTransition, (failover, model) -> true));
    }

    @Test
    void explorerDetectsPlantedFaults() {
        assertEquals(
                "from left to HEALTHY",
                explore(
                        60_000,
                        ZoneFailoverTest::checkTransition,
                        (failover, model) -> {
                            boolean recovering =
                                    failover.healthOf(1).status == ZoneStatus.RECOVERING;
                            // All at once
                            failover.healthOf(1).status =
                                    recovering ? ZoneStatus.HEALTHY : failover.healthOf(1).status;
                            return recovering;
                        }));
        assertEquals(
                "all are left",
                explore(
                        60_000,
                        ZoneFailoverTest::checkTransition,
                        (failover, model) -> {
                            for (int i = 0; i < 3; i++) {
                                // Own isolation taken for the zones'
                                failover.healthOf(i).status =
                                        failover.healthOf(i).status == ZoneStatus.SUSPECT
                                                ? ZoneStatus.FAILED_OVER
                                                : failover.healthOf(i).status;
                            }
                            return true;
                        }));
        assertEquals(
                "doubt without an end",
                explore(
                        60_000,
                        ZoneFailoverTest::checkTransition,
                        (failover, model) -> {
                            boolean becameHealthy =
                                    model.zones.get(0).status == ZoneStatus.SUSPECT
                                            && failover.healthOf(0).status == ZoneStatus.HEALTHY;
                            failover.healthOf(0).status =
                                    becameHealthy
                                            ? ZoneStatus.SUSPECT
                                            : failover.healthOf(0).status;
                            failover.healthOf(0).statusSinceMicros =
                                    becameHealthy
                                            ? model.zones.get(0).statusSinceMicros
                                            : failover.healthOf(0).statusSinceMicros;
                            return becameHealthy;
                        }));
    }
}
