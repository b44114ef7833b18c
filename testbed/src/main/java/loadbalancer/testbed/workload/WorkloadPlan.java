package loadbalancer.testbed.workload;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.function.ToDoubleFunction;
import loadbalancer.testbed.scenario.FaultKind;
import loadbalancer.testbed.scenario.Scenario;
import loadbalancer.testbed.scenario.TargetSelector;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * Everything that a run draws ahead, from the scenario and the seed alone: the arrivals of
 * requests, the upstreams, and the targets of each fault. Two plans of one scenario and seed are
 * equal, and so are their digests. Not modified once generated.
 */
public final class WorkloadPlan {
    private static final int DIGEST_LENGTH = 16;
    private static final int ARRIVAL_BYTES = 32;
    // Of the rate, when it begins to ramp up
    private static final double INITIAL_RATE_FRACTION = 0.1;

    private final Scenario scenario;
    private final long seed;
    private final List<Arrival> arrivals = new ArrayList<>();
    private final List<UpstreamSpec> upstreams = new ArrayList<>();
    private final List<Fault> faults = new ArrayList<>();
    private final Set<String> uids = new HashSet<>();

    /**
     * A request's first attempt.
     *
     * @param atMicros time of the run in µs
     * @param requestClass position in the scenario's classes
     * @param tenant position in the scenario's tenants; 0 if it has none
     * @param workMicros work in µs at speed 1
     * @param impatient whether the client gives up at half of its deadline
     */
    public record Arrival(
            long atMicros,
            int zone,
            int requestClass,
            int tenant,
            long workMicros,
            boolean impatient) {}

    /**
     * An upstream.
     *
     * @param replaces number of the upstream whose successor it is; negative: it is there from the
     *     start
     */
    public record UpstreamSpec(
            int number, String uid, int zone, int machineKind, double speed, int replaces) {
        /** Its position in the network: a successor has that of the upstream it replaces. */
        public int position() {
            return replaces < 0 ? number : replaces;
        }
    }

    /**
     * A fault with its targets.
     *
     * @param startMicros time of the run in µs
     * @param endMicros time of the run in µs; -1: it does not end
     * @param balancers selected by {@code on}
     * @param upstreams selected by {@code on}
     * @param toBalancers selected by {@code to}
     * @param toUpstreams selected by {@code to}
     */
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

        /** Whether it affects datagrams from one balancer to the other. */
        public boolean affectsPeers(int from, int to) {
            boolean forward = balancers.contains(from) && toBalancers.contains(to);
            boolean reverse = balancers.contains(to) && toBalancers.contains(from);
            return from != to && (forward || (reverse && isBidirectional()));
        }

        private boolean matchesDirection(int balancer, int position, boolean forward) {
            return forward
                    ? balancers.contains(balancer) && toUpstreams.contains(position)
                    : upstreams.contains(position) && toBalancers.contains(balancer);
        }

        /** Whether it affects what a balancer sends to the upstreams of that position. */
        public boolean affectsForwardPath(int balancer, int position) {
            return matchesDirection(balancer, position, true)
                    || (isBidirectional() && matchesDirection(balancer, position, false));
        }

        /** Whether it affects what the upstreams of that position send to a balancer. */
        public boolean affectsReversePath(int balancer, int position) {
            return matchesDirection(balancer, position, false)
                    || (isBidirectional() && matchesDirection(balancer, position, true));
        }
    }

    private WorkloadPlan(Scenario scenario, long seed) {
        this.scenario = scenario;
        this.seed = seed;
    }

    /** Draws the plan of a scenario and seed. */
    public static WorkloadPlan generate(Scenario scenario, long seed) {
        WorkloadPlan plan = new WorkloadPlan(scenario, seed);
        plan.drawUpstreams();
        plan.drawFaults();
        plan.drawArrivals();
        return plan;
    }

    /** Returns a plan with the same upstreams and faults and other arrivals, in order of time. */
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

    // Drawn again if taken: about one of 75 plans with 14,000 upstreams would have a duplicate.
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
            FaultKind kind = FaultKind.fromKeyword(fault.kind()).orElseThrow();
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
                targets.upstreams().forEach(replaced -> addSuccessor(replaced, random));
            }
        }
    }

    private void addSuccessor(int replaced, UniformRandomProvider random) {
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

    private void drawArrivals() {
        UniformRandomProvider random = RandomStreams.stream(seed, "arrivals");
        ZigguratSampler.Exponential interArrivalMicros =
                ZigguratSampler.Exponential.of(random, 1e6 / scenario.load().requestsPerSecond());
        int zoneCount = scenario.fleet().zones().size();
        double[] zoneWeights =
                weightsOrEqual(scenario.load().zoneWeights(), weight -> weight, zoneCount);
        double[] classWeights =
                weightsOrEqual(scenario.classes(), Scenario.RequestClass::trafficWeight, 0);
        double[] tenantWeights =
                weightsOrEqual(scenario.tenants(), Scenario.Tenant::trafficWeight, 1);
        double rampUpMicros = scenario.load().rampUpS() * 1e6;
        for (double atMicros = interArrivalMicros.sample();
                atMicros < scenario.lengthMicros();
                atMicros += interArrivalMicros.sample()) {
            if (atMicros < rampUpMicros
                    && random.nextDouble() > rateFraction(atMicros, rampUpMicros)) {
                continue;
            }
            int zone = drawWeightedIndex(zoneWeights, random);
            int requestClass = drawWeightedIndex(classWeights, random);
            int tenant = drawWeightedIndex(tenantWeights, random);
            double workMs =
                    RandomStreams.drawUniform(
                            random, scenario.classes().get(requestClass).workMs());
            arrivals.add(
                    new Arrival(
                            (long) atMicros,
                            zone,
                            requestClass,
                            tenant,
                            Math.round(1e3 * workMs),
                            random.nextDouble() < scenario.load().impatientFraction()));
        }
    }

    private static double rateFraction(double atMicros, double rampUpMicros) {
        return INITIAL_RATE_FRACTION + (1 - INITIAL_RATE_FRACTION) * atMicros / rampUpMicros;
    }

    // The weights of the items; as many equal ones as asked for if there are no items.
    private static <T> double[] weightsOrEqual(
            List<T> items, ToDoubleFunction<T> weightOf, int defaultCount) {
        if (items.isEmpty()) {
            double[] weights = new double[defaultCount];
            Arrays.fill(weights, 1.0);
            return weights;
        }
        return items.stream().mapToDouble(weightOf).toArray();
    }

    private static int drawWeightedIndex(double[] weights, UniformRandomProvider random) {
        double sum = Arrays.stream(weights).sum();
        double remaining = random.nextDouble() * sum;
        for (int i = 0; i < weights.length; i++) {
            remaining -= weights[i];
            if (remaining < 0) {
                return i;
            }
        }
        return weights.length - 1;
    }

    /** The scenario that the plan was drawn from. */
    public Scenario scenario() {
        return scenario;
    }

    /** The seed that the plan was drawn from. */
    public long seed() {
        return seed;
    }

    /** The first attempts of all requests, in order of time. */
    public List<Arrival> arrivals() {
        return arrivals;
    }

    /** The upstreams by number; successors come last. */
    public List<UpstreamSpec> upstreams() {
        return upstreams;
    }

    /** The faults, in the order of the scenario. */
    public List<Fault> faults() {
        return faults;
    }

    /** The successor of an upstream that a fault of kind REPLACE replaces. */
    public UpstreamSpec successor(int replaced) {
        return upstreams.stream()
                .filter(spec -> spec.replaces() == replaced)
                .findFirst()
                .orElseThrow();
    }

    /** A digest of the arrivals, upstreams and faults, by which two plans are compared. */
    public String digest() {
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            arrivals.forEach(
                    arrival ->
                            sha256.update(
                                    ByteBuffer.allocate(ARRIVAL_BYTES)
                                            .putLong(arrival.atMicros)
                                            .putInt(arrival.zone)
                                            .putInt(arrival.requestClass)
                                            .putInt(arrival.tenant)
                                            .putLong(arrival.workMicros)
                                            .putInt(arrival.impatient ? 1 : 0)
                                            .flip()));
            sha256.update((upstreams + " " + faults).getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(sha256.digest()).substring(0, DIGEST_LENGTH);
        } catch (NoSuchAlgorithmException e) {
            throw new AssertionError("every Java platform provides SHA-256", e);
        }
    }
}
