package junctionhead.lab.scenario;

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
        @JsonProperty("fault") List<Fault> faults,
        @JsonProperty("expect") Expect expect) {
    public Scenario {
        name = name == null ? "unnamed" : name;
        lengthS = or(lengthS, 30.0);
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
        expect = expect == null ? new Expect(null, null, null, null, null) : expect;
    }

    /**
     * The balancers: dealt to the zones in turn. {@code start} is {@code together} or {@code
     * in_step}, with {@code stepMs} between two of them; {@code stateDir}: each has a directory
     * that outlives its process; {@code environment}: variables that switch on parts of the
     * program.
     */
    public record Fleet(
            @JsonProperty("balancers") Integer balancers,
            @JsonProperty("zones") List<String> zones,
            @JsonProperty("memory_mb") Integer memoryMb,
            @JsonProperty("sockets") Integer sockets,
            @JsonProperty("start") String start,
            @JsonProperty("step_ms") Integer stepMs,
            @JsonProperty("state_dir") Boolean stateDir,
            @JsonProperty("environment") Map<String, String> environment) {
        public Fleet {
            balancers = or(balancers, 2);
            zones = zones == null ? List.of("a") : List.copyOf(zones);
            memoryMb = or(memoryMb, 192);
            sockets = or(sockets, 1024);
            start = or(start, "together");
            stepMs = or(stepMs, 200);
            stateDir = or(stateDir, false);
            environment = environment == null ? Map.of() : Map.copyOf(environment);
        }
    }

    /**
     * The servers, dealt to the zones in turn. {@code cores}: requests that one works on at a time;
     * {@code waiting}: its room beyond that; {@code connections}: what it takes at most. One that
     * starts has {@code coldFrom} of its capacity and all of it after {@code rampS}; {@code
     * handshakeMs}: what a new connection costs it.
     */
    public record Upstreams(
            @JsonProperty("count") Integer count,
            @JsonProperty("cores") Integer cores,
            @JsonProperty("waiting") Integer waiting,
            @JsonProperty("connections") Integer connections,
            @JsonProperty("cold_from") Double coldFrom,
            @JsonProperty("ramp_s") Double rampS,
            @JsonProperty("overload_factor") Double overloadFactor,
            @JsonProperty("fall_s") Double fallS,
            @JsonProperty("handshake_ms") Double handshakeMs,
            @JsonProperty("kinds") List<Kind> kinds) {
        public Upstreams {
            count = or(count, 4);
            cores = or(cores, 2);
            waiting = or(waiting, 16);
            connections = or(connections, 400);
            coldFrom = or(coldFrom, 0.13);
            rampS = or(rampS, 24.0);
            overloadFactor = or(overloadFactor, 3.0);
            fallS = or(fallS, 3.0);
            handshakeMs = or(handshakeMs, 0.0);
            kinds = kinds == null ? List.of(new Kind("plain", 1.0, 1.0)) : List.copyOf(kinds);
        }
    }

    /** A kind of machine: its part of the servers, and its speed beside 1. */
    public record Kind(
            @JsonProperty("name") String name,
            @JsonProperty("share") Double share,
            @JsonProperty("speed") Double speed) {
        public Kind {
            name = or(name, "plain");
            share = or(share, 1.0);
            speed = or(speed, 1.0);
        }
    }

    /**
     * Clients: {@code rate} first tries a second in all, by zone as {@code zoneShares} say; after a
     * refusal or an unreachable balancer they come again up to {@code retries} times after {@code
     * retryWaitMs}; {@code hasty} of them give up at half of their time; the front notices a dead
     * balancer after {@code frontNoticeMs}; in the first {@code riseS} the rate rises evenly from a
     * tenth.
     */
    public record Load(
            @JsonProperty("rate") Double rate,
            @JsonProperty("zone_shares") List<Double> zoneShares,
            @JsonProperty("retries") Integer retries,
            @JsonProperty("retry_wait_ms") Double retryWaitMs,
            @JsonProperty("hasty") Double hasty,
            @JsonProperty("front_notice_ms") Double frontNoticeMs,
            @JsonProperty("rise_s") Double riseS) {
        public Load {
            rate = or(rate, 100.0);
            riseS = or(riseS, 0.0);
            zoneShares = zoneShares == null ? List.of() : List.copyOf(zoneShares);
            retries = or(retries, 1);
            retryWaitMs = or(retryWaitMs, 100.0);
            hasty = or(hasty, 0.0);
            frontNoticeMs = or(frontNoticeMs, 2000.0);
        }
    }

    /**
     * A class of requests: {@code effect} safe, keyed or unsafe; a keyed one may repeat within
     * {@code scope}.
     */
    public record RequestClass(
            @JsonProperty("name") String name,
            @JsonProperty("share") Double share,
            @JsonProperty("effect") String effect,
            @JsonProperty("scope") String scope,
            @JsonProperty("key_memory_ms") Double keyMemoryMs,
            @JsonProperty("aim_ms") Double aimMs,
            @JsonProperty("deadline_ms") Double deadlineMs,
            @JsonProperty("worth") Double worth,
            @JsonProperty("late_share") Double lateShare,
            @JsonProperty("work_ms") List<Double> workMs) {
        public RequestClass {
            name = or(name, "plain");
            share = or(share, 1.0);
            effect = or(effect, "safe");
            scope = or(scope, "all");
            keyMemoryMs = or(keyMemoryMs, 1000.0);
            aimMs = or(aimMs, 300.0);
            deadlineMs = or(deadlineMs, 1000.0);
            worth = or(worth, 1.0);
            lateShare = or(lateShare, 0.3);
            workMs = workMs == null ? List.of(5.0, 15.0) : List.copyOf(workMs);
        }
    }

    /** A tenant: its part of the requests, and how many a second are within its share. */
    public record Tenant(
            @JsonProperty("name") String name,
            @JsonProperty("share") Double share,
            @JsonProperty("allowance") Double allowance) {
        public Tenant {
            name = or(name, "plain");
            share = or(share, 1.0);
            allowance = or(allowance, 100.0);
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
            @JsonProperty("news_delay_ms") List<Double> newsDelayMs) {
        public Network {
            zoneDelayMs = zoneDelayMs == null ? List.of(0.0, 0.0) : List.copyOf(zoneDelayMs);
            peerDelayMs = peerDelayMs == null ? List.of(1.2, 10.0) : List.copyOf(peerDelayMs);
            peerLoss = or(peerLoss, 0.0);
            newsDelayMs = newsDelayMs == null ? List.of(200.0, 1500.0) : List.copyOf(newsDelayMs);
        }
    }

    /**
     * One thing that goes wrong, from {@code atS} until {@code untilS}: {@link FaultKind} says what
     * the other fields mean for each kind. {@code on} and {@code to} are written as {@link
     * Selector} reads them.
     */
    public record Fault(
            @JsonProperty("kind") String kind,
            @JsonProperty("at_s") Double atS,
            @JsonProperty("until_s") Double untilS,
            @JsonProperty("on") String on,
            @JsonProperty("to") String to,
            @JsonProperty("one_way") Boolean oneWay,
            @JsonProperty("amount") Double amount,
            @JsonProperty("delay_ms") Double delayMs,
            @JsonProperty("spread_ms") Double spreadMs,
            @JsonProperty("state") String state,
            @JsonProperty("at") Integer at,
            @JsonProperty("class") String requestClass) {
        public Fault {
            oneWay = or(oneWay, false);
            delayMs = or(delayMs, 0.0);
            spreadMs = or(spreadMs, 0.0);
            state = or(state, "kept");
            at = or(at, 0);
        }
    }

    /**
     * Properties over time that the run must show; null: not asked for. {@code
     * membersNoticeWithinS}: where membership is on, the end of one is known to all others within
     * that time, and all agree at the end. {@code zoneLeftWithinS}: the zone of the first upstreams
     * that crash or vanish is left so soon. {@code dutiesRestS}: duties are acted upon, in order,
     * with no longer rest than that.
     */
    public record Expect(
            @JsonProperty("back_within_s") Double backWithinS,
            @JsonProperty("members_notice_within_s") Double membersNoticeWithinS,
            @JsonProperty("duties_rest_s") Double dutiesRestS,
            @JsonProperty("zone_left_within_s") Double zoneLeftWithinS,
            @JsonProperty("never_two") List<One> neverTwo) {
        public Expect {
            neverTwo = neverTwo == null ? List.of() : List.copyOf(neverTwo);
        }
    }

    /**
     * What at most one balancer may have at a time: regular expressions of the log lines by which
     * one says that it has it ({@code takes}, the first group says which of them) and has it no
     * longer ({@code leaves}).
     */
    public record One(
            @JsonProperty("what") String what,
            @JsonProperty("takes") String takes,
            @JsonProperty("leaves") String leaves) {}

    private static <T> T or(T value, T otherwise) {
        return value == null ? otherwise : value;
    }

    /** The length in µs. */
    public long length() {
        return Math.round(lengthS * 1e6);
    }

    /** The mean work of a request, in µs of a server of speed 1. */
    public double meanWork() {
        double shares = classes.stream().mapToDouble(RequestClass::share).sum();
        return classes.stream()
                        .mapToDouble(c -> c.share() * (c.workMs().get(0) + c.workMs().get(1)) / 2)
                        .sum()
                / shares
                * 1e3;
    }

    /** Balancer {@code b}'s zone, by its position in {@code fleet.zones}. */
    public int zoneOfBalancer(int b) {
        return b % fleet.zones().size();
    }

    /** Upstream {@code u}'s zone, likewise; a successor has that of the one it replaces. */
    public int zoneOfUpstream(int u) {
        return u % upstreams.count() % fleet.zones().size();
    }
}
