package loadbalancer.testbed.scenario;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Map;

/**
 * One experiment: a fleet, what it talks to, the load, and what goes wrong when. Read by {@link
 * ScenarioReader}, which checks it; what a scenario file leaves out has the default that stands
 * here. Times are seconds or milliseconds, as each name's end says.
 */
public record Scenario(
        @JsonProperty("name") String name,
        @JsonProperty("length_s") Double lengthS,
        @JsonProperty("fleet") Fleet fleet,
        @JsonProperty("upstreams") Upstreams upstreams,
        @JsonProperty("load") Load load,
        @JsonProperty("class") List<RequestClass> classes,
        @JsonProperty("tenant") List<Tenant> tenants,
        @JsonProperty("network") Network network,
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
     * The balancers: dealt to the zones in turn. {@code startMode} is {@code together} or {@code
     * in_step}, with {@code startStepMs} between two of them; {@code stateDir}: each has a
     * directory that outlives its process; {@code environment}: variables that switch on parts of
     * the program.
     */
    public record Fleet(
            @JsonProperty("balancers") Integer balancers,
            @JsonProperty("zones") List<String> zones,
            @JsonProperty("memory_mb") Integer memoryMb,
            @JsonProperty("sockets") Integer sockets,
            @JsonProperty("start") String startMode,
            @JsonProperty("step_ms") Integer startStepMs,
            @JsonProperty("state_dir") Boolean stateDir,
            @JsonProperty("environment") Map<String, String> environment) {
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
     * The servers, dealt to the zones in turn. {@code cores}: requests that one works on at a time;
     * {@code queueCapacity}: its room beyond that; {@code maxConnections}: what it takes at most.
     * One that starts has {@code slowStartInitialFraction} of its capacity and all of it after
     * {@code slowStartWindowS}; {@code handshakeMs}: what a new connection costs it.
     */
    public record Upstreams(
            @JsonProperty("count") Integer count,
            @JsonProperty("cores") Integer cores,
            @JsonProperty("waiting") Integer queueCapacity,
            @JsonProperty("connections") Integer maxConnections,
            @JsonProperty("cold_from") Double slowStartInitialFraction,
            @JsonProperty("ramp_s") Double slowStartWindowS,
            @JsonProperty("overload_factor") Double overloadFactor,
            @JsonProperty("fall_s") Double overloadWindowS,
            @JsonProperty("handshake_ms") Double handshakeMs,
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

    /** A kind of machine: its part of the servers, and its speed beside 1. */
    public record MachineKind(
            @JsonProperty("name") String name,
            @JsonProperty("share") Double weight,
            @JsonProperty("speed") Double speed) {
        public MachineKind {
            name = orDefault(name, "plain");
            weight = orDefault(weight, 1.0);
            speed = orDefault(speed, 1.0);
        }
    }

    /**
     * Clients: {@code requestsPerSecond} first tries a second in all, by zone as {@code
     * zoneWeights} say; after a refusal or an unreachable balancer they come again up to {@code
     * maxRetries} times after {@code retryWaitMs}; {@code impatientFraction} of them give up at
     * half of their time; the front notices a dead balancer after {@code frontendDetectionMs}; in
     * the first {@code rampUpS} the rate rises evenly from a tenth.
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
     * A class of requests: {@code idempotency} safe, keyed or unsafe; a keyed one may repeat within
     * {@code idempotencyScope}.
     */
    public record RequestClass(
            @JsonProperty("name") String name,
            @JsonProperty("share") Double trafficWeight,
            @JsonProperty("effect") String idempotency,
            @JsonProperty("scope") String idempotencyScope,
            @JsonProperty("key_memory_ms") Double idempotencyWindowMs,
            @JsonProperty("aim_ms") Double latencyObjectiveMs,
            @JsonProperty("deadline_ms") Double deadlineMs,
            @JsonProperty("worth") Double priorityWeight,
            @JsonProperty("late_share") Double lateValueFraction,
            @JsonProperty("work_ms") List<Double> workMs) {
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
            workMs = workMs == null ? List.of(5.0, 15.0) : List.copyOf(workMs);
        }
    }

    /** A tenant: its part of the requests, and how many a second are within its share. */
    public record Tenant(
            @JsonProperty("name") String name,
            @JsonProperty("share") Double trafficWeight,
            @JsonProperty("allowance") Double quotaPerSecond) {
        public Tenant {
            name = orDefault(name, "plain");
            trafficWeight = orDefault(trafficWeight, 1.0);
            quotaPerSecond = orDefault(quotaPerSecond, 100.0);
        }
    }

    /**
     * Delays one way: between zones, of peers' datagrams, and of discovery's news; {@code peerLoss}
     * of 1.
     */
    public record Network(
            @JsonProperty("zone_delay_ms") List<Double> zoneDelayMs,
            @JsonProperty("peer_delay_ms") List<Double> peerDelayMs,
            @JsonProperty("peer_loss") Double peerLoss,
            @JsonProperty("news_delay_ms") List<Double> discoveryDelayMs) {
        public Network {
            zoneDelayMs = zoneDelayMs == null ? List.of(0.0, 0.0) : List.copyOf(zoneDelayMs);
            peerDelayMs = peerDelayMs == null ? List.of(1.2, 10.0) : List.copyOf(peerDelayMs);
            peerLoss = orDefault(peerLoss, 0.0);
            discoveryDelayMs =
                    discoveryDelayMs == null
                            ? List.of(200.0, 1500.0)
                            : List.copyOf(discoveryDelayMs);
        }
    }

    /**
     * One thing that goes wrong, from {@code atS} until {@code untilS}: {@link FaultKind} says what
     * the other fields mean for each kind. {@code target} and {@code counterpart} are written as
     * {@link TargetSelector} reads them.
     */
    public record FaultSpec(
            @JsonProperty("kind") String kind,
            @JsonProperty("at_s") Double atS,
            @JsonProperty("until_s") Double untilS,
            @JsonProperty("on") String target,
            @JsonProperty("to") String counterpart,
            @JsonProperty("one_way") Boolean oneWay,
            @JsonProperty("amount") Double amount,
            @JsonProperty("delay_ms") Double delayMs,
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
     * Properties over time that the run must show; null: not asked for. {@code
     * membersNoticeWithinS}: where membership is on, the end of one is known to all others within
     * that time, and all agree at the end. {@code zoneFailoverWithinS}: the zone of the first
     * upstreams that crash or vanish is left so soon. {@code maxLeaseGapS}: duties are acted upon,
     * in order, with no longer rest than that.
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
     * What at most one balancer may have at a time: regular expressions of the log lines by which
     * one says that it has it ({@code acquirePattern}, the first group says which of them) and has
     * it no longer ({@code releasePattern}).
     */
    public record SingleHolder(
            @JsonProperty("what") String resource,
            @JsonProperty("takes") String acquirePattern,
            @JsonProperty("leaves") String releasePattern) {}

    private static <T> T orDefault(T value, T defaultValue) {
        return value == null ? defaultValue : value;
    }

    /** The length in µs. */
    public long lengthMicros() {
        return Math.round(lengthS * 1e6);
    }

    /** The mean work of a request, in µs of a server of speed 1. */
    public double meanWorkMicros() {
        double totalWeight = classes.stream().mapToDouble(RequestClass::trafficWeight).sum();
        return classes.stream()
                        .mapToDouble(
                                requestClass ->
                                        requestClass.trafficWeight()
                                                * (requestClass.workMs().get(0)
                                                        + requestClass.workMs().get(1))
                                                / 2)
                        .sum()
                / totalWeight
                * 1e3;
    }

    /** Balancer {@code balancer}'s zone, by its position in {@code fleet.zones}. */
    public int zoneOfBalancer(int balancer) {
        return balancer % fleet.zones().size();
    }

    /** Upstream {@code upstream}'s zone, likewise; a successor has that of the one it replaces. */
    public int zoneOfUpstream(int upstream) {
        return upstream % upstreams.count() % fleet.zones().size();
    }
}
