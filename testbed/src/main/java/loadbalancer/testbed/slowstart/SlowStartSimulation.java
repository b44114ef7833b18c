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
 * Simulates the restart of two of six upstreams while many balancers, each with little traffic,
 * send requests, and counts the requests that the restarted upstreams receive in slow start.
 * Upstreams do not crash from overload. Single-threaded; the seed determines the result.
 */
public final class SlowStartSimulation {
    private static final int SERVER_COUNT = 6;
    private static final int RESTARTED_SERVER_COUNT = 2;
    private static final long RESTART_MICROS = 6_000_000;
    // Time within which all balancers are notified of a restart
    private static final long NOTIFICATION_MICROS = 2_000_000;
    private static final long WINDOW_MICROS = 3_000_000;
    private static final double BUDGET_FACTOR = 3;
    // Size of a burst as a multiple of the total budget of the restarted upstreams
    private static final double BURST_FACTOR = 4;
    private static final long BURST_MICROS = 1_000_000;
    private static final double MIN_BURST_PER_BALANCER = 2;
    // One of this many balancers joins right before the burst
    private static final int JOINER_DIVISOR = 4;
    // The work of a request is a multiple of the mean, uniformly distributed over this range.
    private static final double MIN_WORK_FACTOR = 0.7;
    private static final double MAX_WORK_FACTOR = 1.3;
    private static final double WORK_FACTOR_RANGE = 0.6;
    private static final double OUTAGE_SECONDS = 0.5;
    private static final double MICROS_PER_SECOND = 1e6;

    private final Parameters parameters;
    private final FleetSimulation.PolicyFactory policies;
    private final long seed;

    /**
     * The size of the fleet, its traffic and its packet loss.
     *
     * @param balancers number of balancers
     * @param warmRate requests per second that one upstream can serve after slow start
     * @param loadFactor steady traffic as a fraction of the capacity of all upstreams after slow
     *     start
     * @param lossRate probability that a datagram between balancers is lost
     */
    public record Parameters(int balancers, double warmRate, double loadFactor, double lossRate) {}

    /**
     * The result of one simulation: the window of a restarted upstream that had the most requests
     * relative to its bound.
     *
     * @param traffic description of the traffic pattern
     * @param requests number of requests in the window
     * @param budget planned number of requests for the window
     * @param bound maximum number of requests without overload
     * @param usedBudgetFraction smallest fraction of its budget that any restarted upstream
     *     received; NaN unless the traffic is steady
     */
    public record Result(
            int balancers,
            double warmRate,
            String traffic,
            int requests,
            double budget,
            double bound,
            double usedBudgetFraction) {
        /** Returns whether a restarted upstream received more requests than the bound. */
        public boolean isOverloaded() {
            return requests > bound;
        }
    }

    /** Creates a simulation in which all balancers use policies of the same factory. */
    public SlowStartSimulation(
            Parameters parameters, FleetSimulation.PolicyFactory policies, long seed) {
        this.parameters = parameters;
        this.policies = policies;
        this.seed = seed;
    }

    /**
     * Simulates steady traffic.
     *
     * @param seconds time in s from when all balancers know of the restarts until the end
     */
    public Result runSteady(double seconds) {
        long endMicros =
                RESTART_MICROS + NOTIFICATION_MICROS + Math.round(seconds * MICROS_PER_SECOND);
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
     * Simulates a burst of one second at all balancers after a period without traffic.
     *
     * @param idleSeconds time in s from when all balancers know of the restarts until the burst
     * @param withJoiners whether a quarter of the balancers start right before the burst
     */
    public Result runBurst(double idleSeconds, boolean withJoiners) {
        long burstMicros =
                RESTART_MICROS + NOTIFICATION_MICROS + Math.round(idleSeconds * MICROS_PER_SECOND);
        List<Long> arrivalMicros = steadyArrivals(0, RESTART_MICROS);
        arrivalMicros.addAll(
                randomArrivals(burstMicros, burstMicros + BURST_MICROS, burstRequests()));
        String faults = withJoiners ? joinerFault(burstMicros) : "";
        Map<Integer, WarmingServerLoad> loadByServer =
                simulate(burstMicros + WINDOW_MICROS, arrivalMicros, faults);
        String traffic =
                String.format(
                        Locale.ROOT,
                        "%.0f s quiet, %s",
                        idleSeconds,
                        withJoiners ? "joiners" : "burst");
        return worstResult(traffic, loadByServer, Double.NaN);
    }

    private int burstRequests() {
        double totalRequests =
                BURST_FACTOR
                        * RESTARTED_SERVER_COUNT
                        * BUDGET_FACTOR
                        * parameters.warmRate
                        * WINDOW_MICROS
                        / MICROS_PER_SECOND;
        double requestsPerBalancer =
                Math.max(MIN_BURST_PER_BALANCER, Math.ceil(totalRequests / parameters.balancers));
        return (int) (requestsPerBalancer * parameters.balancers);
    }

    // The joining balancers are down until 1 s before the burst because they take 1 s to start.
    private String joinerFault(long burstMicros) {
        int joinerCount = Math.max(1, parameters.balancers / JOINER_DIVISOR);
        return String.format(
                Locale.ROOT,
                "[[fault]]%nkind = \"kill\"%nat_s = %.1f%nuntil_s = %.1f%n"
                        + "on = \"balancers:%d-%d\"%n",
                RESTART_MICROS / MICROS_PER_SECOND,
                burstMicros / MICROS_PER_SECOND - 1,
                parameters.balancers - joinerCount,
                parameters.balancers - 1);
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
                        .orElse(WarmingServerLoad.PeakWindow.none());
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
        double requests =
                parameters.loadFactor
                        * SERVER_COUNT
                        * parameters.warmRate
                        * (toMicros - fromMicros)
                        / MICROS_PER_SECOND;
        return randomArrivals(fromMicros, toMicros, (int) requests);
    }

    private List<Long> randomArrivals(long fromMicros, long toMicros, int count) {
        SplittableRandom random = new SplittableRandom(seed + fromMicros);
        return new ArrayList<>(random.longs(count, fromMicros, toMicros).sorted().boxed().toList());
    }

    /** Runs the simulation and returns the load in slow start by upstream number. */
    private Map<Integer, WarmingServerLoad> simulate(
            long endMicros, List<Long> arrivalMicros, String faults) {
        Scenario scenario = scenario(endMicros, faults);
        List<WorkloadPlan.Arrival> arrivals = arrivalMicros.stream().map(this::arrival).toList();
        WorkloadPlan plan = WorkloadPlan.generate(scenario, seed).withArrivals(arrivals);
        Map<Integer, WarmingServerLoad> loadByServer = new TreeMap<>();
        FleetSimulation fleet = new FleetSimulation(plan, policies, line -> {});
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

    private double meanWorkMs() {
        return 1e3 / parameters.warmRate;
    }

    private WorkloadPlan.Arrival arrival(long timeMicros) {
        return new WorkloadPlan.Arrival(timeMicros, 0, 0, 0, drawWorkMicros(timeMicros), false);
    }

    // Depends on the arrival time only, so a request has the same work in every traffic pattern.
    private long drawWorkMicros(long timeMicros) {
        double uniform = new SplittableRandom(seed ^ timeMicros).nextDouble();
        double factor = MIN_WORK_FACTOR + WORK_FACTOR_RANGE * uniform;
        return Math.round(meanWorkMs() * 1e3 * factor);
    }

    private Scenario scenario(long endMicros, String faults) {
        String text = fleetSections(endMicros) + requestClassSection() + restartFault() + faults;
        return ScenarioReader.parse("cold", text, true);
    }

    private String fleetSections(long endMicros) {
        return String.format(
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
                """,
                endMicros / MICROS_PER_SECOND,
                parameters.balancers,
                SERVER_COUNT,
                BUDGET_FACTOR,
                WINDOW_MICROS / MICROS_PER_SECOND,
                parameters.lossRate);
    }

    private String requestClassSection() {
        double workMs = meanWorkMs();
        return String.format(
                Locale.ROOT,
                """
                [[class]]
                name = "keyed"
                effect = "keyed"
                aim_ms = %.1f
                deadline_ms = %.1f
                work_ms = [%.2f, %.2f]
                """,
                Math.max(100, 4 * workMs),
                Math.max(500, 10 * workMs),
                MIN_WORK_FACTOR * workMs,
                MAX_WORK_FACTOR * workMs);
    }

    private static String restartFault() {
        return String.format(
                Locale.ROOT,
                """
                [[fault]]
                kind = "crash"
                at_s = %.1f
                until_s = %.1f
                on = "upstreams:0-%d"
                """,
                RESTART_MICROS / MICROS_PER_SECOND - OUTAGE_SECONDS,
                RESTART_MICROS / MICROS_PER_SECOND,
                RESTARTED_SERVER_COUNT - 1);
    }
}
