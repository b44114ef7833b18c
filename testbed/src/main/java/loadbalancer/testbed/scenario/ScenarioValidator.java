package loadbalancer.testbed.scenario;

import java.util.Set;

/**
 * Validates a scenario that has been read. The limits of sizes are what one machine can run, with
 * real processes or in simulation. Immutable.
 */
final class ScenarioValidator {
    private static final int MAX_BALANCERS = 40;
    private static final int MAX_UPSTREAMS = 200;
    private static final int MAX_SIMULATED_BALANCERS = 1_600;
    private static final int MAX_SIMULATED_UPSTREAMS = 14_000;
    // A scenario may set only variables with this prefix.
    private static final String VARIABLE_PREFIX = "TANSYFERRY_";

    private final FieldChecks checks;
    private final boolean simulated;

    /** Creates a validator; {@code simulated} allows the larger sizes of simulations. */
    ScenarioValidator(FieldChecks checks, boolean simulated) {
        this.checks = checks;
        this.simulated = simulated;
    }

    /**
     * Validates a scenario.
     *
     * @throws InvalidScenarioException at the first field that is not allowed
     */
    void validate(Scenario scenario) {
        checks.requireBetween("length_s", scenario.lengthS(), 1, 3600);
        validateFleet(scenario.fleet());
        validateUpstreams(scenario.upstreams());
        validateLoad(scenario);
        validateNetwork(scenario.network());
        validateNames(scenario);
        for (int i = 0; i < scenario.classes().size(); i++) {
            validateClass(scenario.classes().get(i), "class[" + i + "].");
        }
        validateExpectations(scenario);
        FaultValidator faultValidator = new FaultValidator(scenario, checks);
        for (int i = 0; i < scenario.faults().size(); i++) {
            faultValidator.validate(scenario.faults().get(i), "fault[" + i + "]");
        }
    }

    private void validateFleet(Scenario.Fleet fleet) {
        checks.requireBetween(
                "fleet.balancers",
                fleet.balancers(),
                1,
                simulated ? MAX_SIMULATED_BALANCERS : MAX_BALANCERS);
        checks.requireBetween("fleet.memory_mb", fleet.memoryMb(), 32, 4096);
        checks.requireBetween("fleet.sockets", fleet.sockets(), 256, 65_536);
        checks.requireBetween("fleet.step_ms", fleet.startStepMs(), 0, 60_000);
        checks.requireOneOf("fleet.start", fleet.startMode(), Set.of("together", "in_step"));
        for (String variable : fleet.environment().keySet()) {
            if (!variable.startsWith(VARIABLE_PREFIX)) {
                throw checks.invalid(
                        "fleet.environment." + variable,
                        "not allowed: a variable's name must begin with " + VARIABLE_PREFIX);
            }
        }
        if (fleet.zones().isEmpty()
                || fleet.zones().stream().anyMatch(zone -> !FieldChecks.isPlainName(zone))) {
            throw checks.invalid(
                    "fleet.zones",
                    "not a non-empty list of names of letters, digits, _ and -: " + fleet.zones());
        }
    }

    private void validateUpstreams(Scenario.Upstreams upstreams) {
        checks.requireBetween(
                "upstreams.count",
                upstreams.count(),
                1,
                simulated ? MAX_SIMULATED_UPSTREAMS : MAX_UPSTREAMS);
        checks.requireBetween("upstreams.cores", upstreams.cores(), 1, 1000);
        checks.requireBetween("upstreams.waiting", upstreams.queueCapacity(), 0, 100_000);
        checks.requireBetween("upstreams.connections", upstreams.maxConnections(), 1, 100_000);
        checks.requireBetween("upstreams.cold_from", upstreams.slowStartInitialFraction(), 0.01, 1);
        checks.requireBetween("upstreams.ramp_s", upstreams.slowStartWindowS(), 0, 3600);
        checks.requireBetween("upstreams.overload_factor", upstreams.overloadFactor(), 0.1, 100);
        checks.requireBetween("upstreams.fall_s", upstreams.overloadWindowS(), 0.1, 60);
        for (int i = 0; i < upstreams.machineKinds().size(); i++) {
            Scenario.MachineKind machineKind = upstreams.machineKinds().get(i);
            String location = "upstreams.kinds[" + i + "].";
            checks.requireBetween(location + "speed", machineKind.speed(), 0.01, 100);
            checks.requireBetween(location + "share", machineKind.weight(), 0, 1000);
        }
    }

    private void validateLoad(Scenario scenario) {
        checks.requireBetween("load.rate", scenario.load().requestsPerSecond(), 0.1, 100_000);
        checks.requireBetween("load.retries", scenario.load().maxRetries(), 0, 10);
        checks.requireBetween("load.rise_s", scenario.load().rampUpS(), 0, scenario.lengthS());
        checks.requireBetween("load.hasty", scenario.load().impatientFraction(), 0, 1);
        if (!scenario.load().zoneWeights().isEmpty()
                && scenario.load().zoneWeights().size() != scenario.fleet().zones().size()) {
            throw checks.invalid(
                    "load.zone_shares",
                    "number of values must be that of fleet.zones: "
                            + scenario.fleet().zones().size());
        }
    }

    private void validateNetwork(Scenario.Network network) {
        checks.requireRange("network.zone_delay_ms", network.zoneDelayMs());
        checks.requireRange("network.peer_delay_ms", network.peerDelayMs());
        checks.requireRange("network.news_delay_ms", network.discoveryDelayMs());
        checks.requireBetween("network.peer_loss", network.peerLoss(), 0, 1);
    }

    private void validateNames(Scenario scenario) {
        if (scenario.classes().isEmpty()) {
            throw checks.invalid("class", "missing: at least one request class");
        }
        checks.requireUniqueNames(
                "class", scenario.classes().stream().map(Scenario.RequestClass::name).toList());
        checks.requireUniqueNames(
                "tenant", scenario.tenants().stream().map(Scenario.Tenant::name).toList());
        checks.requireUniqueNames(
                "upstreams.kinds",
                scenario.upstreams().machineKinds().stream()
                        .map(Scenario.MachineKind::name)
                        .toList());
    }

    private void validateClass(Scenario.RequestClass requestClass, String location) {
        checks.requireOneOf(
                location + "effect", requestClass.idempotency(), Set.of("safe", "keyed", "unsafe"));
        checks.requireOneOf(
                location + "scope", requestClass.idempotencyScope(), Set.of("all", "zone"));
        checks.requireBetween(location + "share", requestClass.trafficWeight(), 0, 1000);
        checks.requireBetween(location + "deadline_ms", requestClass.deadlineMs(), 10, 60_000);
        checks.requireBetween(
                location + "aim_ms",
                requestClass.latencyObjectiveMs(),
                1,
                requestClass.deadlineMs());
        checks.requireRange(location + "work_ms", requestClass.workMs());
    }

    private void validateExpectations(Scenario scenario) {
        for (int i = 0; i < scenario.expectations().singleHolders().size(); i++) {
            Scenario.SingleHolder singleHolder = scenario.expectations().singleHolders().get(i);
            String location = "expect.never_two[" + i + "].";
            checks.requirePattern(location + "what", singleHolder.resource());
            checks.requirePattern(location + "takes", singleHolder.acquirePattern());
            checks.requirePattern(location + "leaves", singleHolder.releasePattern());
        }
        if (scenario.expectations().zoneFailoverWithinS() != null
                && scenario.faults().stream()
                        .noneMatch(fault -> Set.of("crash", "vanish").contains(fault.kind()))) {
            throw checks.invalid(
                    "expect.zone_left_within_s", "requires a fault of kind crash or vanish");
        }
    }
}
