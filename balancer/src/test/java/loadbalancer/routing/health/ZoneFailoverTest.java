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
import java.util.function.BiConsumer;
import java.util.stream.IntStream;
import loadbalancer.routing.api.Idempotency;
import loadbalancer.routing.endpoint.EndpointFixtures;
import loadbalancer.routing.endpoint.EndpointState;
import loadbalancer.routing.endpoint.PendingRequest;
import loadbalancer.routing.endpoint.ZoneTally;
import org.junit.jupiter.api.Test;

/** Tests single transitions of {@link ZoneFailover}, and explores its states for violations. */
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
        return IntStream.range(0, count).mapToObj(zone -> zones.healthOf(zone).status()).toList();
    }

    private static EndpointState endpoint(int zone) {
        return EndpointFixtures.endpoint("s" + zone, zone);
    }

    private boolean allowsAttempt(int zone, boolean idempotent) {
        PendingRequest request = EndpointFixtures.request("r", Idempotency.IDEMPOTENT, now);
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
                        "zone status changed: zone=1 status=SUSPECT"
                                + " unresponsive=6 responding=0 endpoints=10",
                        "zone status changed: zone=1 status=FAILED_OVER"
                                + " unresponsive=6 responding=0 endpoints=10"),
                logLines);
    }

    @Test
    void recoveryAdvancesAfterSuccessInEachStep() {
        update(4, HEALTHY, LOST);
        update(20, HEALTHY, IDLE);
        // No probe has succeeded yet.
        assertEquals(ZoneStatus.FAILED_OVER, zones.healthOf(1).status());
        zones.onAttemptEnded(endpoint(1), true);
        update(1, HEALTHY, HEALTHY);
        // Two successful probes are required.
        assertEquals(ZoneStatus.FAILED_OVER, zones.healthOf(1).status());
        zones.onAttemptEnded(endpoint(1), true);
        update(1, HEALTHY, HEALTHY);
        assertEquals(0.25, zones.healthOf(1).admittedFraction());
        update(10, HEALTHY, HEALTHY);
        // No attempt has succeeded in this recovery step.
        assertEquals(0.25, zones.healthOf(1).admittedFraction());
        for (double expectedFraction : new double[] {0.5, 1}) {
            zones.onAttemptEnded(endpoint(1), true);
            update(3, HEALTHY, HEALTHY);
            assertEquals(expectedFraction, zones.healthOf(1).admittedFraction());
        }
        assertEquals(ZoneStatus.HEALTHY, zones.healthOf(1).status());
    }

    @Test
    void recoveryIsImmediateWhenCapacityIsShort() {
        update(4, HEALTHY, LOST);
        assertEquals(ZoneStatus.FAILED_OVER, zones.healthOf(1).status());
        zones.update(List.of(HEALTHY, HEALTHY), true, now += UPDATE_INTERVAL_MICROS, logLines::add);
        // A probe must succeed first, even if the capacity is short.
        assertEquals(ZoneStatus.FAILED_OVER, zones.healthOf(1).status());
        zones.onAttemptEnded(endpoint(1), true);
        zones.update(List.of(HEALTHY, HEALTHY), true, now += UPDATE_INTERVAL_MICROS, logLines::add);
        assertEquals(ZoneStatus.RECOVERING, zones.healthOf(1).status());
        assertEquals(1, zones.healthOf(1).admittedFraction());
        assertTrue(allowsAttempt(1, false));
        zones.onAttemptEnded(endpoint(1), true);
        zones.update(List.of(HEALTHY, HEALTHY), true, now += UPDATE_INTERVAL_MICROS, logLines::add);
        assertEquals(ZoneStatus.HEALTHY, zones.healthOf(1).status());
    }

    @Test
    void failedRecoveryExtendsFailover() {
        List<Long> failoverLengths = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            update(4, HEALTHY, LOST);
            assertEquals(ZoneStatus.FAILED_OVER, zones.healthOf(1).status());
            long failedOverAt = now;
            while (zones.healthOf(1).status() == ZoneStatus.FAILED_OVER) {
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
    void partialLossOrIsolationDoesNotFailOver() {
        update(60, HEALTHY, HALF_FAILED);
        // A partial loss that lasts is attributed to single endpoints, not to the zone.
        assertEquals(ZoneStatus.HEALTHY, zones.healthOf(1).status());
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
        assertEquals(ZoneStatus.FAILED_OVER, other.healthOf(1).status());
        // Zone -1 is for endpoints without a zone.
        assertEquals(ZoneStatus.HEALTHY, other.healthOf(-1).status());
    }

    private static final List<ZoneTally> OBSERVATIONS = List.of(HEALTHY, HALF_FAILED, LOST, IDLE);

    /** Holds the state of three zones at a point in time. */
    private record ZoneModel(List<ZoneHealth> zones, long now) {}

    private static ZoneFailover restore(ZoneModel model) {
        ZoneFailover failover = new ZoneFailover();
        for (int i = 0; i < 3; i++) {
            failover.healthOf(i).copyFrom(model.zones.get(i));
        }
        return failover;
    }

    private static List<Object> fingerprint(ZoneModel model) {
        List<Object> values = new ArrayList<>();
        for (ZoneHealth zone : model.zones) {
            values.addAll(
                    Arrays.asList(
                            zone.status(),
                            Math.min(
                                    30,
                                    (model.now - zone.periodStartMicros())
                                            / UPDATE_INTERVAL_MICROS),
                            Math.min(4, zone.recentFailovers()),
                            zone.admittedFraction(),
                            Math.min(2, zone.successes()),
                            Math.min(2, zone.connectFailures()),
                            Math.max(0, zone.suspectCooldownUntilMicros() - model.now)
                                    / UPDATE_INTERVAL_MICROS));
        }
        return values;
    }

    private interface TransitionCheck {
        /** Returns a description of the violation in a transition, or null. */
        String findViolation(ZoneModel before, ZoneModel after, List<ZoneTally> observed);
    }

    private static String explore(
            int stateCount, TransitionCheck check, BiConsumer<ZoneFailover, ZoneModel> plantFault) {
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
                                OBSERVATIONS.get((i >> 2) & 3),
                                OBSERVATIONS.get((i >> 4) & 3));
                ZoneFailover failover = restore(before);
                for (int zone = 0; zone < 3 && i >= 64; zone++) {
                    endTwoAttempts(failover, zone, i >= 128);
                }
                failover.update(observed, false, before.now + UPDATE_INTERVAL_MICROS, line -> {});
                plantFault.accept(failover, before);
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

    private static void endTwoAttempts(ZoneFailover failover, int zone, boolean success) {
        failover.onAttemptEnded(endpoint(zone), success);
        failover.onAttemptEnded(endpoint(zone), success);
    }

    private static String checkTransition(
            ZoneModel before, ZoneModel after, List<ZoneTally> observed) {
        int failedOverCount = 0;
        for (int i = 0; i < 3; i++) {
            ZoneHealth zoneBefore = before.zones.get(i);
            ZoneHealth zoneAfter = after.zones.get(i);
            failedOverCount += zoneAfter.status() == ZoneStatus.FAILED_OVER ? 1 : 0;
            if (zoneBefore.status() == ZoneStatus.FAILED_OVER
                    && zoneAfter.status() != ZoneStatus.FAILED_OVER
                    && zoneAfter.status() != ZoneStatus.RECOVERING) {
                return "from failed over to " + zoneAfter.status();
            }
            if (zoneAfter.status() == ZoneStatus.RECOVERING
                    && zoneAfter.admittedFraction()
                            > 2 * Math.max(0.125, zoneBefore.admittedFraction())) {
                return "recovery step from "
                        + zoneBefore.admittedFraction()
                        + " to "
                        + zoneAfter.admittedFraction();
            }
            if (zoneAfter.status() == ZoneStatus.SUSPECT
                    && after.now - zoneAfter.periodStartMicros() > 2_000_000) {
                return "suspect for too long";
            }
            if (zoneAfter.status() == ZoneStatus.FAILED_OVER
                    && zoneBefore.status() == ZoneStatus.SUSPECT
                    && observed.get(i).responding() > 0) {
                return "failed over while it responds";
            }
        }
        return failedOverCount == 3 ? "all zones are failed over" : null;
    }

    @Test
    void exploredStatesKeepInvariants() {
        assertEquals(
                "", explore(60_000, ZoneFailoverTest::checkTransition, (failover, model) -> {}));
    }

    @Test
    void explorerDetectsPlantedFaults() {
        assertEquals(
                "from failed over to HEALTHY",
                explore(
                        60_000,
                        ZoneFailoverTest::checkTransition,
                        (failover, before) -> {
                            // The planted fault skips the recovery steps.
                            replaceStatus(
                                    failover.healthOf(1),
                                    ZoneStatus.RECOVERING,
                                    ZoneStatus.HEALTHY);
                        }));
        assertEquals(
                "all zones are failed over",
                explore(
                        60_000,
                        ZoneFailoverTest::checkTransition,
                        (failover, before) -> {
                            // The planted fault fails over every suspect zone, as if an isolated
                            // balancer took its isolation for the loss of all zones.
                            for (int i = 0; i < 3; i++) {
                                replaceStatus(
                                        failover.healthOf(i),
                                        ZoneStatus.SUSPECT,
                                        ZoneStatus.FAILED_OVER);
                            }
                        }));
        assertEquals(
                "suspect for too long",
                explore(
                        60_000,
                        ZoneFailoverTest::checkTransition,
                        (failover, before) -> {
                            // The planted fault keeps a zone suspect instead of ending the
                            // suspicion.
                            ZoneHealth zoneBefore = before.zones.get(0);
                            ZoneHealth zone = failover.healthOf(0);
                            if (zoneBefore.status() == ZoneStatus.SUSPECT
                                    && zone.status() == ZoneStatus.HEALTHY) {
                                zone.transitionTo(
                                        ZoneStatus.SUSPECT, zoneBefore.periodStartMicros());
                            }
                        }));
    }

    private static void replaceStatus(ZoneHealth zone, ZoneStatus from, ZoneStatus to) {
        if (zone.status() == from) {
            zone.transitionTo(to, zone.periodStartMicros());
        }
    }
}
