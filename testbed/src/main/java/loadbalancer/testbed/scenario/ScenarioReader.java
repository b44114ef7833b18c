package loadbalancer.testbed.scenario;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.regex.PatternSyntaxException;
import java.util.stream.Collectors;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Reads and validates scenario files. What it returns can be played. Sizes are limited by what real
 * processes on one machine, or the simulation, can carry.
 */
public final class ScenarioReader {
    private static final int MAX_BALANCERS = 40;
    private static final int MAX_UPSTREAMS = 200;
    private static final int MAX_SIMULATED_BALANCERS = 1_600;
    private static final int MAX_SIMULATED_UPSTREAMS = 14_000;

    private final ObjectMapper mapper =
            new TomlMapper().setPropertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE);
    private final String file;
    private final boolean simulated;

    private ScenarioReader(String file, boolean simulated) {
        this.file = file;
        this.simulated = simulated;
    }

    /**
     * Reads a scenario file.
     *
     * @param simulated whether the scenario is for the simulation, which allows larger sizes
     * @throws InvalidScenarioException if the file can't be read or is invalid
     */
    public static Scenario read(Path path, boolean simulated) {
        String text;
        try {
            text = Files.readString(path);
        } catch (IOException e) {
            throw new InvalidScenarioException(
                    path.toString(), "", "can't be read: " + e.getMessage());
        }
        return parse(path.toString(), text, simulated);
    }

    /**
     * Parses the text of a scenario.
     *
     * @param file name for the messages of exceptions
     * @throws InvalidScenarioException if the text is invalid
     */
    public static Scenario parse(String file, String text, boolean simulated) {
        return new ScenarioReader(file, simulated).parse(text);
    }

    private Scenario parse(String text) {
        Scenario scenario;
        try {
            scenario = mapper.readValue(text, Scenario.class);
        } catch (UnrecognizedPropertyException e) {
            throw invalid(locationOf(e.getPath()), "unknown field");
        } catch (JsonMappingException e) {
            throw invalid(
                    locationOf(e.getPath()), e.getOriginalMessage().lines().findFirst().orElse(""));
        } catch (JsonProcessingException e) {
            throw invalid("line " + e.getLocation().getLineNr(), e.getOriginalMessage());
        }
        validate(scenario);
        return scenario;
    }

    private static String locationOf(List<JsonMappingException.Reference> path) {
        return path.stream()
                .map(
                        reference ->
                                reference.getFieldName() != null
                                        ? reference.getFieldName()
                                        : "[" + reference.getIndex() + "]")
                .collect(Collectors.joining("."))
                .replace(".[", "[");
    }

    private InvalidScenarioException invalid(String location, String problem) {
        return new InvalidScenarioException(file, location, problem);
    }

    private void requireBetween(String location, double value, double min, double max) {
        if (!(value >= min && value <= max)) {
            throw invalid(
                    location,
                    formatNumber(value)
                            + " is not between "
                            + formatNumber(min)
                            + " and "
                            + formatNumber(max));
        }
    }

    private static String formatNumber(double value) {
        return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
    }

    private void requireOneOf(String location, String value, Set<String> allowed) {
        if (!allowed.contains(value)) {
            throw invalid(
                    location,
                    "'"
                            + value
                            + "' is none of "
                            + String.join(", ", allowed.stream().sorted().toList()));
        }
    }

    private void requireRange(String location, List<Double> range) {
        if (range.size() != 2 || range.get(0) < 0 || range.get(1) < range.get(0)) {
            throw invalid(location, "not a range [least, most]: " + range);
        }
    }

    private void validate(Scenario scenario) {
        requireBetween("length_s", scenario.lengthS(), 1, 3600);
        validateFleet(scenario.fleet());
        validateUpstreams(scenario.upstreams());
        validateLoad(scenario);
        validateNetwork(scenario.network());
        validateNames(scenario);
        for (int i = 0; i < scenario.classes().size(); i++) {
            validate(scenario.classes().get(i), "class[" + i + "].");
        }
        validateExpectations(scenario);
        for (int i = 0; i < scenario.faults().size(); i++) {
            validate(scenario, scenario.faults().get(i), "fault[" + i + "]");
        }
    }

    private void validateFleet(Scenario.Fleet fleet) {
        requireBetween(
                "fleet.balancers",
                fleet.balancers(),
                1,
                simulated ? MAX_SIMULATED_BALANCERS : MAX_BALANCERS);
        requireBetween("fleet.memory_mb", fleet.memoryMb(), 32, 4096);
        requireBetween("fleet.sockets", fleet.sockets(), 256, 65_536);
        requireBetween("fleet.step_ms", fleet.startStepMs(), 0, 60_000);
        requireOneOf("fleet.start", fleet.startMode(), Set.of("together", "in_step"));
        for (String variable : fleet.environment().keySet()) {
            if (!variable.startsWith("TANSYFERRY_")) {
                throw invalid(
                        "fleet.environment." + variable,
                        "only variables that begin with TANSYFERRY_ may be set");
            }
        }
        if (fleet.zones().isEmpty()
                || fleet.zones().stream().anyMatch(zone -> !zone.matches("[\\w-]+"))) {
            throw invalid("fleet.zones", "no list of names: " + fleet.zones());
        }
    }

    private void validateUpstreams(Scenario.Upstreams upstreams) {
        requireBetween(
                "upstreams.count",
                upstreams.count(),
                1,
                simulated ? MAX_SIMULATED_UPSTREAMS : MAX_UPSTREAMS);
        requireBetween("upstreams.cores", upstreams.cores(), 1, 1000);
        requireBetween("upstreams.waiting", upstreams.queueCapacity(), 0, 100_000);
        requireBetween("upstreams.connections", upstreams.maxConnections(), 1, 100_000);
        requireBetween("upstreams.cold_from", upstreams.slowStartInitialFraction(), 0.01, 1);
        requireBetween("upstreams.ramp_s", upstreams.slowStartWindowS(), 0, 3600);
        requireBetween("upstreams.overload_factor", upstreams.overloadFactor(), 0.1, 100);
        requireBetween("upstreams.fall_s", upstreams.overloadWindowS(), 0.1, 60);
        for (int i = 0; i < upstreams.machineKinds().size(); i++) {
            requireBetween(
                    "upstreams.kinds[" + i + "].speed",
                    upstreams.machineKinds().get(i).speed(),
                    0.01,
                    100);
            requireBetween(
                    "upstreams.kinds[" + i + "].share",
                    upstreams.machineKinds().get(i).weight(),
                    0,
                    1000);
        }
    }

    private void validateLoad(Scenario scenario) {
        requireBetween("load.rate", scenario.load().requestsPerSecond(), 0.1, 100_000);
        requireBetween("load.retries", scenario.load().maxRetries(), 0, 10);
        requireBetween("load.rise_s", scenario.load().rampUpS(), 0, scenario.lengthS());
        requireBetween("load.hasty", scenario.load().impatientFraction(), 0, 1);
        if (!scenario.load().zoneWeights().isEmpty()
                && scenario.load().zoneWeights().size() != scenario.fleet().zones().size()) {
            throw invalid(
                    "load.zone_shares",
                    "as many as zones are wanted: " + scenario.fleet().zones().size());
        }
    }

    private void validateNetwork(Scenario.Network network) {
        requireRange("network.zone_delay_ms", network.zoneDelayMs());
        requireRange("network.peer_delay_ms", network.peerDelayMs());
        requireRange("network.news_delay_ms", network.discoveryDelayMs());
        requireBetween("network.peer_loss", network.peerLoss(), 0, 1);
    }

    private void validateNames(Scenario scenario) {
        if (scenario.classes().isEmpty()) {
            throw invalid("class", "no class of requests");
        }
        requireUniqueNames(
                "class", scenario.classes().stream().map(Scenario.RequestClass::name).toList());
        requireUniqueNames(
                "tenant", scenario.tenants().stream().map(Scenario.Tenant::name).toList());
        requireUniqueNames(
                "upstreams.kinds",
                scenario.upstreams().machineKinds().stream()
                        .map(Scenario.MachineKind::name)
                        .toList());
    }

    private void validate(Scenario.RequestClass requestClass, String location) {
        requireOneOf(
                location + "effect", requestClass.idempotency(), Set.of("safe", "keyed", "unsafe"));
        requireOneOf(location + "scope", requestClass.idempotencyScope(), Set.of("all", "zone"));
        requireBetween(location + "share", requestClass.trafficWeight(), 0, 1000);
        requireBetween(location + "deadline_ms", requestClass.deadlineMs(), 10, 60_000);
        requireBetween(
                location + "aim_ms",
                requestClass.latencyObjectiveMs(),
                1,
                requestClass.deadlineMs());
        requireRange(location + "work_ms", requestClass.workMs());
    }

    private void validateExpectations(Scenario scenario) {
        for (int i = 0; i < scenario.expectations().singleHolders().size(); i++) {
            Scenario.SingleHolder singleHolder = scenario.expectations().singleHolders().get(i);
            String location = "expect.never_two[" + i + "].";
            requirePattern(location + "what", singleHolder.resource());
            requirePattern(location + "takes", singleHolder.acquirePattern());
            requirePattern(location + "leaves", singleHolder.releasePattern());
        }
        if (scenario.expectations().zoneFailoverWithinS() != null
                && scenario.faults().stream()
                        .noneMatch(fault -> Set.of("crash", "vanish").contains(fault.kind()))) {
            throw invalid("expect.zone_left_within_s", "no upstreams crash or vanish");
        }
    }

    // Names travel in headers and comma-separated settings, where a space or comma would split
    // them.
    private void requireUniqueNames(String location, List<String> names) {
        for (int i = 0; i < names.size(); i++) {
            if (!names.get(i).matches("[\\w-]+")) {
                throw invalid(
                        location + "[" + i + "].name", "no plain name: '" + names.get(i) + "'");
            }
            if (names.indexOf(names.get(i)) < i) {
                throw invalid(
                        location + "[" + i + "].name",
                        "there is one of that name already: '" + names.get(i) + "'");
            }
        }
    }

    private void requirePattern(String location, String expression) {
        if (expression == null || expression.isEmpty()) {
            throw invalid(location, "missing");
        }
        try {
            Pattern.compile(expression);
        } catch (PatternSyntaxException e) {
            throw invalid(location, "no regular expression: " + e.getDescription());
        }
    }

    private void validate(Scenario scenario, Scenario.FaultSpec fault, String location) {
        FaultKind kind =
                FaultKind.fromKeyword(fault.kind())
                        .orElseThrow(
                                () ->
                                        invalid(
                                                location + ".kind",
                                                "unknown kind of fault: '" + fault.kind() + "'"));
        if (fault.atS() == null) {
            throw invalid(location + ".at_s", "missing: when it begins");
        }
        requireBetween(location + ".at_s", fault.atS(), 0, scenario.lengthS());
        if (kind.requiresEnd() && fault.untilS() == null) {
            throw invalid(location + ".until_s", "missing: when it ends");
        }
        if (fault.untilS() != null) {
            requireBetween(location + ".until_s", fault.untilS(), fault.atS(), scenario.lengthS());
        }
        TargetSelector targets = requireSelector(scenario, fault.target(), location + ".on");
        if (kind.targetKind() == FaultKind.TargetKind.BALANCERS && !targets.upstreams().isEmpty()) {
            throw invalid(location + ".on", kind.keyword() + " is for balancers");
        }
        if (kind.targetKind() == FaultKind.TargetKind.UPSTREAMS && !targets.balancers().isEmpty()) {
            throw invalid(location + ".on", kind.keyword() + " is for upstreams");
        }
        if (kind.affectsPath()) {
            requireSelector(scenario, fault.counterpart(), location + ".to");
        } else if (fault.counterpart() != null) {
            throw invalid(location + ".to", kind.keyword() + " is about no path");
        }
        switch (kind) {
            case LOSS, REPEAT, REORDER ->
                    requireBetween(location + ".amount", requireAmount(fault, location), 0, 1);
            case SLOW ->
                    requireBetween(location + ".amount", requireAmount(fault, location), 1, 1000);
            case THIN ->
                    requireBetween(location + ".amount", requireAmount(fault, location), 100, 1e9);
            default -> {}
        }
        if (fault.requestClass() != null
                && scenario.classes().stream()
                        .noneMatch(
                                requestClass -> requestClass.name().equals(fault.requestClass()))) {
            throw invalid(location + ".class", "no class '" + fault.requestClass() + "'");
        }
        requireOneOf(
                location + ".state",
                fault.stateChange(),
                Set.of("kept", "emptied", "cut", "flipped", "older"));
    }

    private double requireAmount(Scenario.FaultSpec fault, String location) {
        if (fault.amount() == null) {
            throw invalid(location + ".amount", "missing");
        }
        return fault.amount();
    }

    private TargetSelector requireSelector(Scenario scenario, String selector, String location) {
        if (selector == null) {
            throw invalid(location, "missing: whom it is about");
        }
        try {
            return TargetSelector.parse(
                    selector, scenario, RandomSource.XO_RO_SHI_RO_128_PP.create(1L));
        } catch (InvalidSelectorException e) {
            throw invalid(location, e.getMessage());
        }
    }
}
