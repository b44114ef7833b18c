package loadbalancer.testbed.workload;

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
import loadbalancer.testbed.scenario.FaultKind;
import loadbalancer.testbed.scenario.Scenario;
import loadbalancer.testbed.scenario.TargetSelector;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * All that a run draws ahead, from the scenario and the seed alone: when which request comes, who
 * the servers are, whom each fault is about. Two plans of one scenario and seed are equal, and so
 * are their digests.
 */
public final class WorkloadPlan {
    private static final int DIGEST_LENGTH = 16;
    // Of the rate, at the start of a rise
    private static final double INITIAL_RATE_FRACTION = 0.1;

    private final Scenario scenario;
    private final long seed;
    private final List<Arrival> arrivals = new ArrayList<>();
    private final List<UpstreamSpec> upstreams = new ArrayList<>();
    private final List<Fault> faults = new ArrayList<>();
    private final Set<String> uids = new HashSet<>();

    /**
     * A first try: {@code workMicros} in µs at speed 1; a hasty client gives up at half of its
     * time.
     */
    public record Arrival(
            long atMicros,
            int zone,
            int requestClass,
            int tenant,
            long workMicros,
            boolean impatient) {}

    /**
     * A server, there from the start or, with {@code replaces} not negative, the successor of
     * another.
     */
    public record UpstreamSpec(
            int number, String uid, int zone, int machineKind, double speed, int replaces) {
        /** Where it lies: a successor lies where the server lay that it replaces. */
        public int position() {
            return replaces < 0 ? number : replaces;
        }
    }

    /** A fault with all that it is about; {@code endMicros} is -1 where it does not end. */
    public record Fault(
            FaultKind kind,
            long startMicros,
            long endMicros,
            SortedSet<Integer> balancers,
            SortedSet<Integer> upstreams,
            SortedSet<Integer> toBalancers,
            SortedSet<Integer> toUpstreams,
            Scenario.FaultSpec spec) {
        private boolean isBidirectional() {
            return !spec.oneWay();
        }

        /** Whether datagrams from the one balancer to the other are troubled. */
        public boolean affectsPeers(int from, int to) {
            return from != to
                    && (balancers.contains(from) && toBalancers.contains(to)
                            || isBidirectional()
                                    && balancers.contains(to)
                                    && toBalancers.contains(from));
        }

        private boolean matchesDirection(int balancer, int position, boolean forward) {
            return forward
                    ? balancers.contains(balancer) && toUpstreams.contains(position)
                    : upstreams.contains(position) && toBalancers.contains(balancer);
        }

        /** Whether what a balancer sends to the servers of that place is troubled. */
        public boolean affectsForwardPath(int balancer, int position) {
            return matchesDirection(balancer, position, true)
                    || isBidirectional() && matchesDirection(balancer, position, false);
        }

        /** Whether what those send back is troubled. */
        public boolean affectsReversePath(int balancer, int position) {
            return matchesDirection(balancer, position, false)
                    || isBidirectional() && matchesDirection(balancer, position, true);
        }
    }

    private WorkloadPlan(Scenario scenario, long seed) {
        this.scenario = scenario;
        this.seed = seed;
    }

    public static WorkloadPlan generate(Scenario scenario, long seed) {
        WorkloadPlan plan = new WorkloadPlan(scenario, seed);
        plan.drawUpstreams();
        plan.drawFaults();
        plan.drawArrivals();
        return plan;
    }

    /** The same servers and faults with other first tries, in order of time. */
    public WorkloadPlan withArrivals(List<Arrival> replacements) {
        WorkloadPlan plan = new WorkloadPlan(scenario, seed);
        plan.upstreams.addAll(upstreams);
        plan.faults.addAll(faults);
        plan.arrivals.addAll(replacements);
        return plan;
    }

    private void drawUpstreams() {
        UniformRandomProvider random = RandomStreams.stream(seed, "servers");
        List<Scenario.MachineKind> machineKinds = scenario.upstreams().machineKinds();
        double[] weights =
                machineKinds.stream().mapToDouble(Scenario.MachineKind::weight).toArray();
        for (int i = 0; i < scenario.upstreams().count(); i++) {
            int kindIndex = drawWeightedIndex(weights, random);
            upstreams.add(
                    new UpstreamSpec(
                            i,
                            drawUid(random),
                            scenario.zoneOfUpstream(i),
                            kindIndex,
                            machineKinds.get(kindIndex).speed(),
                            -1));
        }
    }

    // Drawn again where another has it, as one of some 75 plans of 14,000 servers has two alike.
    private String drawUid(UniformRandomProvider random) {
        String uid;
        do {
            uid = "s-" + HexFormat.of().toHexDigits(random.nextInt());
        } while (!uids.add(uid));
        return uid;
    }

    private void drawFaults() {
        UniformRandomProvider random = RandomStreams.stream(seed, "faults");
        for (Scenario.FaultSpec fault : scenario.faults()) {
            FaultKind kind = FaultKind.fromKeyword(fault.kind());
            TargetSelector targets = TargetSelector.parse(fault.target(), scenario, random);
            TargetSelector counterparts =
                    kind.affectsPath()
                            ? TargetSelector.parse(fault.counterpart(), scenario, random)
                            : new TargetSelector(new TreeSet<>(), new TreeSet<>());
            long endMicros = fault.untilS() == null ? -1 : Math.round(fault.untilS() * 1e6);
            faults.add(
                    new Fault(
                            kind,
                            Math.round(fault.atS() * 1e6),
                            endMicros,
                            targets.balancers(),
                            targets.upstreams(),
                            counterparts.balancers(),
                            counterparts.upstreams(),
                            fault));
            if (kind == FaultKind.REPLACE) {
                for (int replaced : targets.upstreams()) {
                    UpstreamSpec spec = upstreams.get(replaced);
                    upstreams.add(
                            new UpstreamSpec(
                                    upstreams.size(),
                                    drawUid(random),
                                    spec.zone(),
                                    spec.machineKind(),
                                    spec.speed(),
                                    replaced));
                }
            }
        }
    }

    private void drawArrivals() {
        UniformRandomProvider random = RandomStreams.stream(seed, "arrivals");
        ZigguratSampler.Exponential interArrivalMicros =
                ZigguratSampler.Exponential.of(random, 1e6 / scenario.load().requestsPerSecond());
        int zoneCount = scenario.fleet().zones().size();
        double[] zoneWeights =
                scenario.load().zoneWeights().isEmpty()
                        ? equalWeights(zoneCount)
                        : scenario.load().zoneWeights().stream().mapToDouble(d -> d).toArray();
        double[] classWeights =
                scenario.classes().stream()
                        .mapToDouble(Scenario.RequestClass::trafficWeight)
                        .toArray();
        double[] tenantWeights =
                scenario.tenants().isEmpty()
                        ? equalWeights(1)
                        : scenario.tenants().stream()
                                .mapToDouble(Scenario.Tenant::trafficWeight)
                                .toArray();
        double rampUpMicros = scenario.load().rampUpS() * 1e6;
        for (double atMicros = interArrivalMicros.sample();
                atMicros < scenario.lengthMicros();
                atMicros += interArrivalMicros.sample()) {
            if (atMicros < rampUpMicros
                    && random.nextDouble()
                            > INITIAL_RATE_FRACTION
                                    + (1 - INITIAL_RATE_FRACTION) * atMicros / rampUpMicros) {
                continue;
            }
            int zone = drawWeightedIndex(zoneWeights, random);
            int requestClass = drawWeightedIndex(classWeights, random);
            int tenant = drawWeightedIndex(tenantWeights, random);
            List<Double> workRangeMs = scenario.classes().get(requestClass).workMs();
            arrivals.add(
                    new Arrival(
                            (long) atMicros,
                            zone,
                            requestClass,
                            tenant,
                            Math.round(
                                    1e3
                                            * (workRangeMs.get(0)
                                                    + random.nextDouble()
                                                            * (workRangeMs.get(1)
                                                                    - workRangeMs.get(0)))),
                            random.nextDouble() < scenario.load().impatientFraction()));
        }
    }

    private static double[] equalWeights(int count) {
        double[] weights = new double[count];
        java.util.Arrays.fill(weights, 1.0);
        return weights;
    }

    private static int drawWeightedIndex(double[] weights, UniformRandomProvider random) {
        double sum = java.util.Arrays.stream(weights).sum();
        double remaining = random.nextDouble() * sum;
        for (int i = 0; i < weights.length; i++) {
            remaining -= weights[i];
            if (remaining < 0) {
                return i;
            }
        }
        return weights.length - 1;
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
    public List<UpstreamSpec> upstreams() {
        return upstreams;
    }

    public List<Fault> faults() {
        return faults;
    }

    /** The successors that a fault of kind REPLACE brings, by the number of the one replaced. */
    public UpstreamSpec successor(int replaced) {
        return upstreams.stream()
                .filter(spec -> spec.replaces() == replaced)
                .findFirst()
                .orElseThrow();
    }

    /** What two plans are compared by. */
    public String digest() {
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            arrivals.forEach(
                    arrival ->
                            sha256.update(
                                    ByteBuffer.allocate(32)
                                            .putLong(arrival.atMicros)
                                            .putInt(arrival.zone)
                                            .putInt(arrival.requestClass)
                                            .putInt(arrival.tenant)
                                            .putLong(arrival.workMicros)
                                            .putInt(arrival.impatient ? 1 : 0)
                                            .flip()));
            sha256.update(
                    (upstreams + " " + faults).getBytes(java.nio.charset.StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(sha256.digest()).substring(0, DIGEST_LENGTH);
        } catch (NoSuchAlgorithmException e) {
            // Every Java platform has it
            throw new IllegalStateException(e);
        }
    }
}
