package junctionhead.lab.cold;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import junctionhead.lab.plan.Plan;
import junctionhead.lab.scenario.Scenario;
import junctionhead.lab.scenario.ScenarioReader;
import junctionhead.lab.sim.SimFleet;

/**
 * Cold servers under the sum of all balancers, in simulated time: a handful of servers, of which
 * some start anew, and many balancers, each with little traffic. Nobody falls; what each cold
 * server got is counted.
 */
public final class ColdPlay {
    private static final int SERVERS = 6;
    private static final int COLD = 2;
    // µs; then some servers start anew
    private static final long START = 6_000_000;
    // Until all balancers know it
    private static final long HEARD = 2_000_000;
    private static final long WINDOW = 3_000_000;
    private static final double FACTOR = 3;
    // Times what both cold servers are allowed
    private static final double BURST = 4;
    private static final long BURST_LENGTH = 1_000_000;

    private final Site site;
    private final SimFleet.Modules modules;
    private final long seed;

    /**
     * Balancers, and servers that each can do {@code perSecond} requests when warm; {@code load}:
     * steady traffic, as a part of what all servers can do when warm; {@code loss} of the
     * balancers' messages.
     */
    public record Site(int balancers, double perSecond, double load, double loss) {}

    /** What comes of one play: the worst of its cold servers. */
    public record Outcome(
            int balancers,
            double perSecond,
            String traffic,
            int got,
            double budget,
            double bound,
            double used) {
        /** Whether a cold server got more than it bears. */
        public boolean falls() {
            return got > bound;
        }
    }

    /** {@code modules}: what decides in each balancer. */
    public ColdPlay(Site site, SimFleet.Modules modules, long seed) {
        this.site = site;
        this.modules = modules;
        this.seed = seed;
    }

    /**
     * Traffic without a rest: {@code used} is the least part of a budget that a cold server got.
     */
    public Outcome steady(double seconds) {
        long end = START + HEARD + Math.round(seconds * 1e6);
        Map<Integer, ColdCount> counts = play(end, even(0, end), "");
        double used =
                counts.values().stream()
                        .mapToDouble(c -> c.used(START + HEARD, end))
                        .min()
                        .orElse(0);
        return outcome("steady", counts, used);
    }

    /**
     * Nothing for some time after a start, then a burst at all balancers within a second; {@code
     * joiners}: a quarter of them starts in that second.
     */
    public Outcome burst(double quietS, boolean joiners) {
        long burst = START + HEARD + Math.round(quietS * 1e6);
        List<Long> times = even(0, START);
        double all = BURST * COLD * FACTOR * site.perSecond * WINDOW / 1e6;
        double each = Math.max(2, Math.ceil(all / site.balancers));
        times.addAll(spread(burst, burst + BURST_LENGTH, (int) (each * site.balancers)));
        int first = site.balancers - Math.max(1, site.balancers / 4);
        String joining =
                String.format(
                        Locale.ROOT,
                        "[[fault]]%nkind = \"kill\"%nat_s = %.1f%nuntil_s = %.1f%n"
                                + "on = \"balancers:%d-%d\"%n",
                        START / 1e6,
                        burst / 1e6 - 1,
                        first,
                        site.balancers - 1);
        return outcome(
                String.format(
                        Locale.ROOT, "%.0f s quiet, %s", quietS, joiners ? "joiners" : "burst"),
                play(burst + WINDOW, times, joiners ? joining : ""),
                Double.NaN);
    }

    private Outcome outcome(String traffic, Map<Integer, ColdCount> counts, double used) {
        ColdCount.Peak peak =
                counts.values().stream()
                        .map(ColdCount::peak)
                        .max(Comparator.comparingDouble(ColdCount.Peak::part))
                        .orElse(new ColdCount.Peak(0, 0, 0, 1));
        return new Outcome(
                site.balancers,
                site.perSecond,
                traffic,
                peak.got(),
                peak.budget(),
                peak.bound(),
                used);
    }

    private List<Long> even(long from, long to) {
        return spread(from, to, (int) (site.load * SERVERS * site.perSecond * (to - from) / 1e6));
    }

    private List<Long> spread(long from, long to, int count) {
        SplittableRandom random = new SplittableRandom(seed + from);
        return new ArrayList<>(random.longs(count, from, to).sorted().boxed().toList());
    }

    private Map<Integer, ColdCount> play(long end, List<Long> times, String faults) {
        double workMs = 1e3 / site.perSecond;
        Scenario scenario =
                ScenarioReader.parse(
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
                                        end / 1e6,
                                        site.balancers,
                                        SERVERS,
                                        FACTOR,
                                        WINDOW / 1e6,
                                        site.loss,
                                        Math.max(100, 4 * workMs),
                                        Math.max(500, 10 * workMs),
                                        0.7 * workMs,
                                        1.3 * workMs,
                                        START / 1e6 - 0.5,
                                        START / 1e6,
                                        COLD - 1)
                                + faults,
                        true);
        List<Plan.Arrival> arrivals =
                times.stream()
                        .map(
                                at ->
                                        new Plan.Arrival(
                                                at,
                                                0,
                                                0,
                                                0,
                                                Math.round(
                                                        workMs
                                                                * 1e3
                                                                * (0.7
                                                                        + 0.6
                                                                                * new SplittableRandom(
                                                                                                seed
                                                                                                        ^ at)
                                                                                        .nextDouble())),
                                                false))
                        .toList();
        Map<Integer, ColdCount> counts = new TreeMap<>();
        SimFleet fleet = new SimFleet(Plan.of(scenario, seed).with(arrivals), modules, line -> {});
        fleet.watchCold(
                (server, now, capacity) ->
                        counts.computeIfAbsent(server, s -> new ColdCount(FACTOR, WINDOW))
                                .got(now, capacity * site.perSecond));
        fleet.play();
        return counts;
    }
}
