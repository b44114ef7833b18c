package loadbalancer.testbed.scenario;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Map;

/**
 * The description of a run: a fleet, the upstreams that it forwards to, the load and the faults.
 * {@link ScenarioReader} reads and validates it; the constructors here set the defaults of the
 * fields that a scenario file omits. The key of a field in the file is its name in snake case
 * unless {@link JsonProperty} names another. Names of times end in the unit: {@code S} for seconds,
 * {@code Ms} for milliseconds. Immutable.
 */
public record Scenario(
        String name,
        Double lengthS,
        Fleet fleet,
        Upstreams upstreams,
        Load load,
        @JsonProperty("class") List<RequestClass> classes,
        @JsonProperty("tenant") List<Tenant> tenants,
        Network network,
        @JsonProperty("fault") List<FaultSpec> faults,
        @JsonProperty("expect") Expectations expectations) {
    public Scenario {
        name = name == null ? "unnamed" : name;
        lengthS = orDefault(lengthS, 30.0);
        fleet = fleet == null ? new Fleet(null, null, null, null, null, null, null, null) : fleet;
        upstreams =
                upstreams == null
                        ? new Upstreams(null, null, null, null, null, null, null, null, null, null)
                        : upstreams;
        load = load == null ? new Load(null, null, null, null, null, null, null) : load;
        classes = classes == null ? List.of() : List.copyOf(classes);
        tenants = tenants == null ? List.of() : List.copyOf(tenants);
        network = network == null ? new Network(null, null, null, null) : network;
        faults = faults == null ? List.of() : List.copyOf(faults);
        expectations =
                expectations == null
                        ? new Expectations(null, null, null, null, null)
                        : expectations;
    }

    /**
     * The balancers, assigned to the zones round robin.
     *
     * @param balancers number of balancers
     * @param zones names of the zones
     * @param memoryMb limit of the resident memory of each process in MiB
     * @param sockets limit of the open file descriptors of each process
     * @param startMode {@code together}, or {@code in_step} with {@code startStepMs} between starts
     * @param stateDir whether each balancer has a state directory that outlives its process
     * @param environment environment variables that enable optional features of the balancer
     */
    public record Fleet(
            Integer balancers,
            List<String> zones,
            Integer memoryMb,
            Integer sockets,
            @JsonProperty("start") String startMode,
            @JsonProperty("step_ms") Integer startStepMs,
            Boolean stateDir,
            Map<String, String> environment) {
        public Fleet {
            balancers = orDefault(balancers, 2);
            zones = zones == null ? List.of("a") : List.copyOf(zones);
            memoryMb = orDefault(memoryMb, 192);
            sockets = orDefault(sockets, 1024);
            startMode = orDefault(startMode, "together");
            startStepMs = orDefault(startStepMs, 200);
            stateDir = orDefault(stateDir, false);
            environment = environment == null ? Map.of() : Map.copyOf(environment);
        }
    }

    /**
     * The upstreams, assigned to the zones round robin.
     *
     * @param count number of upstreams
     * @param cores number of requests that one upstream processes at a time
     * @param queueCapacity number of further requests that it queues
     * @param maxConnections number of connections that it accepts
     * @param slowStartInitialFraction fraction of its capacity that it has right after a start
     * @param slowStartWindowS time after a start until it has its full capacity
     * @param overloadFactor work that it withstands in slow start, as a multiple of its capacity
     * @param overloadWindowS window over which that work is measured
     * @param handshakeMs work of accepting a new connection
     */
    public record Upstreams(
            Integer count,
            Integer cores,
            @JsonProperty("waiting") Integer queueCapacity,
            @JsonProperty("connections") Integer maxConnections,
            @JsonProperty("cold_from") Double slowStartInitialFraction,
            @JsonProperty("ramp_s") Double slowStartWindowS,
            Double overloadFactor,
            @JsonProperty("fall_s") Double overloadWindowS,
            Double handshakeMs,
            @JsonProperty("kinds") List<MachineKind> machineKinds) {
        public Upstreams {
            count = orDefault(count, 4);
            cores = orDefault(cores, 2);
            queueCapacity = orDefault(queueCapacity, 16);
            maxConnections = orDefault(maxConnections, 400);
            slowStartInitialFraction = orDefault(slowStartInitialFraction, 0.13);
            slowStartWindowS = orDefault(slowStartWindowS, 24.0);
            overloadFactor = orDefault(overloadFactor, 3.0);
            overloadWindowS = orDefault(overloadWindowS, 3.0);
            handshakeMs = orDefault(handshakeMs, 0.0);
            machineKinds =
                    machineKinds == null
                            ? List.of(new MachineKind("plain", 1.0, 1.0))
                            : List.copyOf(machineKinds);
        }
    }

    /**
     * A kind of machine.
     *
     * @param weight its share of the upstreams, relative to the weights of the other kinds
     * @param speed work that it does per unit of time, relative to a machine of speed 1
     */
    public record MachineKind(String name, @JsonProperty("share") Double weight, Double speed) {
        public MachineKind {
            name = orDefault(name, "plain");
            weight = orDefault(weight, 1.0);
            speed = orDefault(speed, 1.0);
        }
    }

    /**
     * The clients.
     *
     * @param requestsPerSecond rate of requests of all zones together, without retries
     * @param zoneWeights relative shares of the zones in the rate; equal shares if empty
     * @param maxRetries maximum number of retries after a rejection or an unreachable balancer
     * @param retryBackoffMs time before a retry
     * @param impatientFraction fraction of clients that give up at half of their deadline
     * @param frontendDetectionMs time until the front end detects a dead balancer
     * @param rampUpS time in which the rate rises linearly from a tenth to its full value
     */
    public record Load(
            @JsonProperty("rate") Double requestsPerSecond,
            @JsonProperty("zone_shares") List<Double> zoneWeights,
            @JsonProperty("retries") Integer maxRetries,
            @JsonProperty("retry_wait_ms") Double retryBackoffMs,
            @JsonProperty("hasty") Double impatientFraction,
            @JsonProperty("front_notice_ms") Double frontendDetectionMs,
            @JsonProperty("rise_s") Double rampUpS) {
        public Load {
            requestsPerSecond = orDefault(requestsPerSecond, 100.0);
            rampUpS = orDefault(rampUpS, 0.0);
            zoneWeights = zoneWeights == null ? List.of() : List.copyOf(zoneWeights);
            maxRetries = orDefault(maxRetries, 1);
            retryBackoffMs = orDefault(retryBackoffMs, 100.0);
            impatientFraction = orDefault(impatientFraction, 0.0);
            frontendDetectionMs = orDefault(frontendDetectionMs, 2000.0);
        }
    }

    /**
     * A request class.
     *
     * @param trafficWeight its share of the requests, relative to the weights of the other classes
     * @param idempotency {@code safe}, {@code keyed} or {@code unsafe}
     * @param idempotencyScope upstreams to which a keyed request may be repeated: {@code all}, or
     *     those of one {@code zone}
     * @param idempotencyWindowMs time in which a keyed request may be repeated
     * @param lateValueFraction value of a response that misses the latency objective, as a fraction
     *     of the value of one that meets it
     * @param workMs range of the processing time of a request at speed 1
     */
    public record RequestClass(
            String name,
            @JsonProperty("share") Double trafficWeight,
            @JsonProperty("effect") String idempotency,
            @JsonProperty("scope") String idempotencyScope,
            @JsonProperty("key_memory_ms") Double idempotencyWindowMs,
            @JsonProperty("aim_ms") Double latencyObjectiveMs,
            Double deadlineMs,
            @JsonProperty("worth") Double priorityWeight,
            @JsonProperty("late_share") Double lateValueFraction,
            Range workMs) {
        public RequestClass {
            name = orDefault(name, "plain");
            trafficWeight = orDefault(trafficWeight, 1.0);
            idempotency = orDefault(idempotency, "safe");
            idempotencyScope = orDefault(idempotencyScope, "all");
            idempotencyWindowMs = orDefault(idempotencyWindowMs, 1000.0);
            latencyObjectiveMs = orDefault(latencyObjectiveMs, 300.0);
            deadlineMs = orDefault(deadlineMs, 1000.0);
            priorityWeight = orDefault(priorityWeight, 1.0);
            lateValueFraction = orDefault(lateValueFraction, 0.3);
            workMs = orDefault(workMs, Range.of(5, 15));
        }
    }

    /**
     * A tenant.
     *
     * @param trafficWeight its share of the requests, relative to the weights of the other tenants
     * @param quotaPerSecond quota in requests per second
     */
    public record Tenant(
            String name,
            @JsonProperty("share") Double trafficWeight,
            @JsonProperty("allowance") Double quotaPerSecond) {
        public Tenant {
            name = orDefault(name, "plain");
            trafficWeight = orDefault(trafficWeight, 1.0);
            quotaPerSecond = orDefault(quotaPerSecond, 100.0);
        }
    }

    /**
     * The network. All delays are one-way.
     *
     * @param zoneDelayMs delay between a balancer and an upstream of another zone
     * @param peerDelayMs delay of a datagram between balancers
     * @param peerLoss probability that a datagram between balancers is lost
     * @param discoveryDelayMs delay until a discovery agent learns of a change
     */
    public record Network(
            Range zoneDelayMs,
            Range peerDelayMs,
            Double peerLoss,
            @JsonProperty("news_delay_ms") Range discoveryDelayMs) {
        public Network {
            zoneDelayMs = orDefault(zoneDelayMs, Range.of(0, 0));
            peerDelayMs = orDefault(peerDelayMs, Range.of(1.2, 10));
            peerLoss = orDefault(peerLoss, 0.0);
            discoveryDelayMs = orDefault(discoveryDelayMs, Range.of(200, 1500));
        }
    }

    /**
     * One fault, from {@code atS} until {@code untilS}. {@link FaultKind} describes what the other
     * fields mean for each kind; {@link TargetSelector} describes the syntax of {@code target} and
     * {@code counterpart}.
     */
    public record FaultSpec(
            String kind,
            Double atS,
            Double untilS,
            @JsonProperty("on") String target,
            @JsonProperty("to") String counterpart,
            Boolean oneWay,
            Double amount,
            Double delayMs,
            @JsonProperty("spread_ms") Double jitterMs,
            @JsonProperty("state") String stateChange,
            @JsonProperty("at") Integer byteOffset,
            @JsonProperty("class") String requestClass) {
        public FaultSpec {
            oneWay = orDefault(oneWay, false);
            delayMs = orDefault(delayMs, 0.0);
            jitterMs = orDefault(jitterMs, 0.0);
            stateChange = orDefault(stateChange, "kept");
            byteOffset = orDefault(byteOffset, 0);
        }
    }

    /**
     * Properties of the whole run that are checked, each unless it is null.
     *
     * @param recoveryWithinS longest time until service recovers after a fault
     * @param memberDetectionWithinS longest time until all members detect the end of one, if
     *     membership is enabled; at the end of the run all views must agree
     * @param maxLeaseGapS longest time without an action of a lease's holders, whose epochs must
     *     not decrease
     * @param zoneFailoverWithinS longest time until the balancers fail over from the zone of the
     *     first upstreams that crash or vanish
     * @param singleHolders resources that at most one balancer may hold at a time
     */
    public record Expectations(
            @JsonProperty("back_within_s") Double recoveryWithinS,
            @JsonProperty("members_notice_within_s") Double memberDetectionWithinS,
            @JsonProperty("duties_rest_s") Double maxLeaseGapS,
            @JsonProperty("zone_left_within_s") Double zoneFailoverWithinS,
            @JsonProperty("never_two") List<SingleHolder> singleHolders) {
        public Expectations {
            singleHolders = singleHolders == null ? List.of() : List.copyOf(singleHolders);
        }
    }

    /**
     * A resource that at most one balancer may hold at a time.
     *
     * @param resource name of the resource in violations
     * @param acquirePattern regular expression of the log line of an acquisition; its first group,
     *     if it has one, matches the resource's key
     * @param releasePattern regular expression of the log line of a release
     */
    public record SingleHolder(
            @JsonProperty("what") String resource,
            @JsonProperty("takes") String acquirePattern,
            @JsonProperty("leaves") String releasePattern) {}

    private static <T> T orDefault(T value, T defaultValue) {
        return value == null ? defaultValue : value;
    }

    /** Returns the length of the run in µs. */
    public long lengthMicros() {
        return Math.round(lengthS * 1e6);
    }

    /** Returns the mean processing time of a request at speed 1 in µs. */
    public double meanWorkMicros() {
        double totalWeight = classes.stream().mapToDouble(RequestClass::trafficWeight).sum();
        return classes.stream()
                        .mapToDouble(
                                requestClass ->
                                        requestClass.trafficWeight()
                                                * (requestClass.workMs().lower()
                                                        + requestClass.workMs().upper())
                                                / 2)
                        .sum()
                / totalWeight
                * 1e3;
    }

    /** Returns the zone of a balancer, as its index in {@code fleet.zones}. */
    public int zoneOfBalancer(int balancer) {
        return balancer % fleet.zones().size();
    }

    /**
     * Returns the zone of an upstream, as its index in {@code fleet.zones}. A successor is in the
     * zone of the upstream that it replaces.
     */
    public int zoneOfUpstream(int upstream) {
        return upstream % upstreams.count() % fleet.zones().size();
    }
}
