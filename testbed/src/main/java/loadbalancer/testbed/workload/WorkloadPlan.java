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
 * The random decisions that are made before a run: the arrivals of requests, the upstreams, and the
 * targets of each fault. They depend only on the scenario and the seed, so two plans of the same
 * scenario and seed are equal and have equal digests. A plan is not modified after its creation.
 */
public final class WorkloadPlan {
    private static final int DIGEST_LENGTH = 16;
    private static final int ARRIVAL_BYTES = 32;
    // Fraction of the request rate at the beginning of the ramp-up
    private static final double INITIAL_RATE_FRACTION = 0.1;

    private final Scenario scenario;
    private final long seed;
    private final List<Arrival> arrivals = new ArrayList<>();
    private final List<UpstreamSpec> upstreams = new ArrayList<>();
    private final List<Fault> faults = new ArrayList<>();
    private final Set<String> uids = new HashSet<>();

    /**
     * The arrival of a request's first attempt.
     *
     * @param atMicros time of the run in µs
     * @param requestClass position in the scenario's classes
     * @param tenant position in the scenario's tenants; 0 if it has none
     * @param workMicros service time in µs at speed 1
     * @param impatient whether the client gives up after half of its deadline
     */
    public record Arrival(
            long atMicros,
            int zone,
            int requestClass,
            int tenant,
            long workMicros,
            boolean impatient) {}

    /**
     * The properties of an upstream.
     *
     * @param replaces number of the upstream that it replaces; negative if it exists from the start
     */
    public record UpstreamSpec(
            int number, String uid, int zone, int machineKind, double speed, int replaces) {
        /** Returns its position in the network; a successor has that of the replaced upstream. */
        public int position() {
            return replaces < 0 ? number : replaces;
        }
    }

    /**
     * A fault with its targets.
     *
     * @param startMicros start in µs of the run
     * @param endMicros end in µs of the run; -1 if it does not end
     * @param balancers balancers selected by {@code on}
     * @param upstreams upstreams selected by {@code on}
     * @param toBalancers balancers selected by {@code to}
     * @param toUpstreams upstreams selected by {@code to}
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

        /** Returns whether it affects datagrams from one balancer to another. */
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

        /** Returns whether it affects data from a balancer to the upstreams at a position. */
        public boolean affectsForwardPath(int balancer, int position) {
            return matchesDirection(balancer, position, true)
                    || (isBidirectional() && matchesDirection(balancer, position, false));
        }

        /** Returns whether it affects data from the upstreams at a position to a balancer. */
        public boolean affectsReversePath(int balancer, int position) {
            return matchesDirection(balancer, position, false)
                    || (isBidirectional() && matchesDirection(balancer, position, true));
        }
    }

    private WorkloadPlan(Scenario scenario, long seed) {
        this.scenario = scenario;
        this.seed = seed;
    }

    /** Generates the plan of a scenario and seed. */
    public static WorkloadPlan generate(Scenario scenario, long seed) {
        WorkloadPlan plan = new WorkloadPlan(scenario, seed);
        plan.drawUpstreams();
        plan.drawFaults();
        plan.drawArrivals();
        return plan;
    }

    /**
     * Returns a plan with the same upstreams and faults but other arrivals.
     *
     * @param replacements the arrivals in order of time
     */
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

    // Repeats until the uid is unique. Otherwise about one of 75 plans with 14,000 upstreams would
    // contain a duplicate.
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

    // Returns the weights of the items, or defaultCount equal weights if there are no items.
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

    /** Returns the scenario from which the plan was generated. */
    public Scenario scenario() {
        return scenario;
    }

    /** Returns the seed from which the plan was generated. */
    public long seed() {
        return seed;
    }

    /** Returns the first attempts of all requests, in order of time. */
    public List<Arrival> arrivals() {
        return arrivals;
    }

    /** Returns the upstreams by number; successors come last. */
    public List<UpstreamSpec> upstreams() {
        return upstreams;
    }

    /** Returns the faults, in the order of the scenario. */
    public List<Fault> faults() {
        return faults;
    }

    /** Returns the successor of an upstream that a fault of kind REPLACE replaces. */
    public UpstreamSpec successor(int replaced) {
        return upstreams.stream()
                .filter(spec -> spec.replaces() == replaced)
                .findFirst()
                .orElseThrow();
    }

    /** Returns a digest of the arrivals, upstreams and faults, for comparison of plans. */
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
