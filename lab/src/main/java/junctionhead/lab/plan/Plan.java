package junctionhead.lab.plan;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import junctionhead.lab.scenario.FaultKind;
import junctionhead.lab.scenario.Scenario;
import junctionhead.lab.scenario.Selector;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * All that a run draws ahead, from the scenario and the seed alone: when which request comes, who
 * the servers are, whom each fault is about. Two plans of one scenario and seed are equal, and so
 * are their digests.
 */
public final class Plan {
    private static final int KEY_LENGTH = 16;
    // Of the rate, at the start of a rise
    private static final double FIRST_PART = 0.1;

    private final Scenario scenario;
    private final long seed;
    private final List<Arrival> arrivals = new ArrayList<>();
    private final List<Server> servers = new ArrayList<>();
    private final List<Fault> faults = new ArrayList<>();
    private final Set<String> uids = new HashSet<>();

    /** A first try: {@code work} in µs at speed 1; a hasty client gives up at half of its time. */
    public record Arrival(
            long at, int zone, int requestClass, int tenant, long work, boolean hasty) {}

    /**
     * A server, there from the start or, with {@code replaces} not negative, the successor of
     * another.
     */
    public record Server(int number, String uid, int zone, int kind, double speed, int replaces) {
        /** Where it lies: a successor lies where the server lay that it replaces. */
        public int place() {
            return replaces < 0 ? number : replaces;
        }
    }

    /** A fault with all that it is about; {@code until} is -1 where it does not end. */
    public record Fault(
            FaultKind kind,
            long at,
            long until,
            SortedSet<Integer> balancers,
            SortedSet<Integer> upstreams,
            SortedSet<Integer> toBalancers,
            SortedSet<Integer> toUpstreams,
            Scenario.Fault text) {
        private boolean bothWays() {
            return !text.oneWay();
        }

        /** Whether datagrams from the one balancer to the other are troubled. */
        public boolean troublesPeers(int from, int to) {
            return from != to
                    && (balancers.contains(from) && toBalancers.contains(to)
                            || bothWays() && balancers.contains(to) && toBalancers.contains(from));
        }

        private boolean named(int balancer, int place, boolean there) {
            return there
                    ? balancers.contains(balancer) && toUpstreams.contains(place)
                    : upstreams.contains(place) && toBalancers.contains(balancer);
        }

        /** Whether what a balancer sends to the servers of that place is troubled. */
        public boolean troublesThere(int balancer, int place) {
            return named(balancer, place, true) || bothWays() && named(balancer, place, false);
        }

        /** Whether what those send back is troubled. */
        public boolean troublesBack(int balancer, int place) {
            return named(balancer, place, false) || bothWays() && named(balancer, place, true);
        }
    }

    private Plan(Scenario scenario, long seed) {
        this.scenario = scenario;
        this.seed = seed;
    }

    public static Plan of(Scenario scenario, long seed) {
        Plan plan = new Plan(scenario, seed);
        plan.drawServers();
        plan.drawFaults();
        plan.drawArrivals();
        return plan;
    }

    /** The same servers and faults with other first tries, in order of time. */
    public Plan with(List<Arrival> others) {
        Plan plan = new Plan(scenario, seed);
        plan.servers.addAll(servers);
        plan.faults.addAll(faults);
        plan.arrivals.addAll(others);
        return plan;
    }

    private void drawServers() {
        UniformRandomProvider random = Seeds.stream(seed, "servers");
        List<Scenario.Kind> kinds = scenario.upstreams().kinds();
        double[] shares = kinds.stream().mapToDouble(Scenario.Kind::share).toArray();
        for (int i = 0; i < scenario.upstreams().count(); i++) {
            int kind = weighted(shares, random);
            servers.add(
                    new Server(
                            i,
                            uid(random),
                            scenario.zoneOfUpstream(i),
                            kind,
                            kinds.get(kind).speed(),
                            -1));
        }
    }

    // Drawn again where another has it, as one of some 75 plans of 14,000 servers has two alike.
    private String uid(UniformRandomProvider random) {
        String uid;
        do {
            uid = "s-" + HexFormat.of().toHexDigits(random.nextInt());
        } while (!uids.add(uid));
        return uid;
    }

    private void drawFaults() {
        UniformRandomProvider random = Seeds.stream(seed, "faults");
        for (Scenario.Fault f : scenario.faults()) {
            FaultKind kind = FaultKind.of(f.kind());
            Selector on = Selector.of(f.on(), scenario, random);
            Selector to =
                    kind.path()
                            ? Selector.of(f.to(), scenario, random)
                            : new Selector(new TreeSet<>(), new TreeSet<>());
            long until = f.untilS() == null ? -1 : Math.round(f.untilS() * 1e6);
            faults.add(
                    new Fault(
                            kind,
                            Math.round(f.atS() * 1e6),
                            until,
                            on.balancers(),
                            on.upstreams(),
                            to.balancers(),
                            to.upstreams(),
                            f));
            if (kind == FaultKind.REPLACE) {
                for (int old : on.upstreams()) {
                    Server s = servers.get(old);
                    servers.add(
                            new Server(
                                    servers.size(),
                                    uid(random),
                                    s.zone(),
                                    s.kind(),
                                    s.speed(),
                                    old));
                }
            }
        }
    }

    private void drawArrivals() {
        UniformRandomProvider random = Seeds.stream(seed, "arrivals");
        ZigguratSampler.Exponential gap =
                ZigguratSampler.Exponential.of(random, 1e6 / scenario.load().rate());
        int zones = scenario.fleet().zones().size();
        double[] byZone =
                scenario.load().zoneShares().isEmpty()
                        ? even(zones)
                        : scenario.load().zoneShares().stream().mapToDouble(d -> d).toArray();
        double[] byClass =
                scenario.classes().stream().mapToDouble(Scenario.RequestClass::share).toArray();
        double[] byTenant =
                scenario.tenants().isEmpty()
                        ? even(1)
                        : scenario.tenants().stream().mapToDouble(Scenario.Tenant::share).toArray();
        double rise = scenario.load().riseS() * 1e6;
        for (double at = gap.sample(); at < scenario.length(); at += gap.sample()) {
            if (at < rise && random.nextDouble() > FIRST_PART + (1 - FIRST_PART) * at / rise) {
                continue;
            }
            int zone = weighted(byZone, random);
            int number = weighted(byClass, random);
            int tenant = weighted(byTenant, random);
            List<Double> work = scenario.classes().get(number).workMs();
            arrivals.add(
                    new Arrival(
                            (long) at,
                            zone,
                            number,
                            tenant,
                            Math.round(
                                    1e3
                                            * (work.get(0)
                                                    + random.nextDouble()
                                                            * (work.get(1) - work.get(0)))),
                            random.nextDouble() < scenario.load().hasty()));
        }
    }

    private static double[] even(int count) {
        double[] shares = new double[count];
        java.util.Arrays.fill(shares, 1.0);
        return shares;
    }

    private static int weighted(double[] shares, UniformRandomProvider random) {
        double sum = java.util.Arrays.stream(shares).sum();
        double drawn = random.nextDouble() * sum;
        for (int i = 0; i < shares.length; i++) {
            drawn -= shares[i];
            if (drawn < 0) {
                return i;
            }
        }
        return shares.length - 1;
    }

    public Scenario scenario() {
        return scenario;
    }

    public long seed() {
        return seed;
    }

    /** In order of time. */
    public List<Arrival> arrivals() {
        return arrivals;
    }

    /** By number; those that replace others come last. */
    public List<Server> servers() {
        return servers;
    }

    public List<Fault> faults() {
        return faults;
    }

    /** The successors that a fault of kind REPLACE brings, by the number of the one replaced. */
    public Server successor(int old) {
        return servers.stream().filter(s -> s.replaces() == old).findFirst().orElseThrow();
    }

    /** What two plans are compared by. */
    public String digest() {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            arrivals.forEach(
                    a ->
                            sha.update(
                                    ByteBuffer.allocate(32)
                                            .putLong(a.at)
                                            .putInt(a.zone)
                                            .putInt(a.requestClass)
                                            .putInt(a.tenant)
                                            .putLong(a.work)
                                            .putInt(a.hasty ? 1 : 0)
                                            .flip()));
            sha.update((servers + " " + faults).getBytes(java.nio.charset.StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(sha.digest()).substring(0, KEY_LENGTH);
        } catch (NoSuchAlgorithmException e) {
            // Every Java platform has it
            throw new IllegalStateException(e);
        }
    }
}
