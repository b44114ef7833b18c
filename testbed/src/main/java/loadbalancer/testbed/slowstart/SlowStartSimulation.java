package loadbalancer.testbed.slowstart;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import loadbalancer.testbed.scenario.Scenario;
import loadbalancer.testbed.scenario.ScenarioReader;
import loadbalancer.testbed.simulation.FleetSimulation;
import loadbalancer.testbed.workload.WorkloadPlan;

/**
 * Cold servers under the sum of all balancers, in simulated time: a handful of servers, of which
 * some start anew, and many balancers, each with little traffic. Nobody falls; what each cold
 * server got is counted.
 */
public final class SlowStartSimulation {
    private static final int SERVER_COUNT = 6;
    private static final int RESTARTED_SERVER_COUNT = 2;
    // µs; then some servers start anew
    private static final long RESTART_MICROS = 6_000_000;
    // Until all balancers know it
    private static final long NOTIFICATION_MICROS = 2_000_000;
    private static final long WINDOW_MICROS = 3_000_000;
    private static final double BUDGET_FACTOR = 3;
    // Times what both cold servers are allowed
    private static final double BURST_FACTOR = 4;
    private static final long BURST_MICROS = 1_000_000;

    private final Parameters parameters;
    private final FleetSimulation.PolicyFactory policies;
    private final long seed;

    /**
     * Balancers, and servers that each can do {@code warmRate} requests when warm; {@code
     * loadFactor}: steady traffic, as a part of what all servers can do when warm; {@code lossRate}
     * of the balancers' messages.
     */
    public record Parameters(int balancers, double warmRate, double loadFactor, double lossRate) {}

    /** What comes of one play: the worst of its cold servers. */
    public record Result(
            int balancers,
            double warmRate,
            String traffic,
            int requests,
            double budget,
            double bound,
            double usedBudgetFraction) {
        /** Whether a cold server got more than it bears. */
        public boolean isOverloaded() {
            return requests > bound;
        }
    }

    /** {@code policies}: what decides in each balancer. */
    public SlowStartSimulation(
            Parameters parameters, FleetSimulation.PolicyFactory policies, long seed) {
        this.parameters = parameters;
        this.policies = policies;
        this.seed = seed;
    }

    /**
     * Traffic without a rest: {@code used} is the least part of a budget that a cold server got.
     */
    public Result runSteady(double seconds) {
        long endMicros = RESTART_MICROS + NOTIFICATION_MICROS + Math.round(seconds * 1e6);
        Map<Integer, WarmingServerLoad> loadByServer =
                simulate(endMicros, steadyArrivals(0, endMicros), "");
        double minUsedFraction =
                loadByServer.values().stream()
                        .mapToDouble(
                                serverLoad ->
                                        serverLoad.usedBudgetFraction(
                                                RESTART_MICROS + NOTIFICATION_MICROS, endMicros))
                        .min()
                        .orElse(0);
        return worstResult("steady", loadByServer, minUsedFraction);
    }

    /**
     * Nothing for some time after a start, then a burst at all balancers within a second; {@code
     * joiners}: a quarter of them starts in that second.
     */
    public Result runBurst(double quietSeconds, boolean joiners) {
        long burstMicros = RESTART_MICROS + NOTIFICATION_MICROS + Math.round(quietSeconds * 1e6);
        List<Long> arrivalMicros = steadyArrivals(0, RESTART_MICROS);
        double totalRequests =
                BURST_FACTOR
                        * RESTARTED_SERVER_COUNT
                        * BUDGET_FACTOR
                        * parameters.warmRate
                        * WINDOW_MICROS
                        / 1e6;
        double requestsPerBalancer = Math.max(2, Math.ceil(totalRequests / parameters.balancers));
        arrivalMicros.addAll(
                randomArrivals(
                        burstMicros,
                        burstMicros + BURST_MICROS,
                        (int) (requestsPerBalancer * parameters.balancers)));
        int firstJoiner = parameters.balancers - Math.max(1, parameters.balancers / 4);
        String joinerFault =
                String.format(
                        Locale.ROOT,
                        "[[fault]]%nkind = \"kill\"%nat_s = %.1f%nuntil_s = %.1f%n"
                                + "on = \"balancers:%d-%d\"%n",
                        RESTART_MICROS / 1e6,
                        burstMicros / 1e6 - 1,
                        firstJoiner,
                        parameters.balancers - 1);
        return worstResult(
                String.format(
                        Locale.ROOT,
                        "%.0f s quiet, %s",
                        quietSeconds,
                        joiners ? "joiners" : "burst"),
                simulate(burstMicros + WINDOW_MICROS, arrivalMicros, joiners ? joinerFault : ""),
                Double.NaN);
    }

    private Result worstResult(
            String traffic,
            Map<Integer, WarmingServerLoad> loadByServer,
            double usedBudgetFraction) {
        WarmingServerLoad.PeakWindow peak =
                loadByServer.values().stream()
                        .map(WarmingServerLoad::peak)
                        .max(
                                Comparator.comparingDouble(
                                        WarmingServerLoad.PeakWindow::boundFraction))
                        .orElse(new WarmingServerLoad.PeakWindow(0, 0, 0, 1));
        return new Result(
                parameters.balancers,
                parameters.warmRate,
                traffic,
                peak.requests(),
                peak.budget(),
                peak.bound(),
                usedBudgetFraction);
    }

    private List<Long> steadyArrivals(long fromMicros, long toMicros) {
        return randomArrivals(
                fromMicros,
                toMicros,
                (int)
                        (parameters.loadFactor
                                * SERVER_COUNT
                                * parameters.warmRate
                                * (toMicros - fromMicros)
                                / 1e6));
    }

    private List<Long> randomArrivals(long fromMicros, long toMicros, int count) {
        SplittableRandom random = new SplittableRandom(seed + fromMicros);
        return new ArrayList<>(random.longs(count, fromMicros, toMicros).sorted().boxed().toList());
    }

    private Map<Integer, WarmingServerLoad> simulate(
            long endMicros, List<Long> arrivalMicros, String faults) {
        double workMs = 1e3 / parameters.warmRate;
        Scenario scenario = scenario(endMicros, workMs, faults);
        List<WorkloadPlan.Arrival> arrivals =
                arrivalMicros.stream()
                        .map(
                                timeMicros ->
                                        new WorkloadPlan.Arrival(
                                                timeMicros,
                                                0,
                                                0,
                                                0,
                                                workMicros(workMs, seed ^ timeMicros),
                                                false))
                        .toList();
        Map<Integer, WarmingServerLoad> loadByServer = new TreeMap<>();
        FleetSimulation fleet =
                new FleetSimulation(
                        WorkloadPlan.generate(scenario, seed).withArrivals(arrivals),
                        policies,
                        line -> {});
        fleet.observeSlowStart(
                (server, nowMicros, capacity) ->
                        loadByServer
                                .computeIfAbsent(
                                        server,
                                        newServer ->
                                                new WarmingServerLoad(BUDGET_FACTOR, WINDOW_MICROS))
                                .requestReceived(nowMicros, capacity * parameters.warmRate));
        fleet.run();
        return loadByServer;
    }

    private Scenario scenario(long endMicros, double workMs, String faults) {
        return ScenarioReader.parse(
                "cold",
                String.format(
                                Locale.ROOT,
                                """
            length_s = %.1f
            [fleet]
            balancers = %d
            [upstreams]
            count = %d
            cores = 1
            waiting = 12
            overload_factor = %.1f
            fall_s = %.1f
            [load]
            retries = 2
            retry_wait_ms = 200
            [network]
            peer_loss = %.2f
            [[class]]
            name = "keyed"
            effect = "keyed"
            aim_ms = %.1f
            deadline_ms = %.1f
            work_ms = [%.2f, %.2f]
            [[fault]]
            kind = "crash"
            at_s = %.1f
            until_s = %.1f
            on = "upstreams:0-%d"
            """,
                                endMicros / 1e6,
                                parameters.balancers,
                                SERVER_COUNT,
                                BUDGET_FACTOR,
                                WINDOW_MICROS / 1e6,
                                parameters.lossRate,
                                Math.max(100, 4 * workMs),
                                Math.max(500, 10 * workMs),
                                0.7 * workMs,
                                1.3 * workMs,
                                RESTART_MICROS / 1e6 - 0.5,
                                RESTART_MICROS / 1e6,
                                RESTARTED_SERVER_COUNT - 1)
                        + faults,
                true);
    }

    /** The work of one request: 0.7 to 1.3 times the mean, by its own seed. */
    private static long workMicros(double meanWorkMs, long seed) {
        double factor = 0.7 + 0.6 * new SplittableRandom(seed).nextDouble();
        return Math.round(meanWorkMs * 1e3 * factor);
    }
}
