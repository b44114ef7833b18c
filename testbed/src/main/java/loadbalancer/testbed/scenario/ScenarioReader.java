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

/** Reads and checks scenario files: what it returns can be played. */
public final class ScenarioReader {
    // Real processes
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
     * Reads a scenario; {@code simulated}: it is to be played with the module alone, at larger
     * sizes.
     *
     * @throws InvalidScenarioException with one line that names the file, the place and what is
     *     wrong there
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

    /** The same of a text; {@code file} is what complaints call it. */
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
        requireBetween(
                "fleet.balancers",
                scenario.fleet().balancers(),
                1,
                simulated ? MAX_SIMULATED_BALANCERS : MAX_BALANCERS);
        requireBetween("fleet.memory_mb", scenario.fleet().memoryMb(), 32, 4096);
        requireBetween("fleet.sockets", scenario.fleet().sockets(), 256, 65_536);
        requireBetween("fleet.step_ms", scenario.fleet().startStepMs(), 0, 60_000);
        requireOneOf("fleet.start", scenario.fleet().startMode(), Set.of("together", "in_step"));
        for (String variable : scenario.fleet().environment().keySet()) {
            if (!variable.startsWith("TANSYFERRY_")) {
                throw invalid(
                        "fleet.environment." + variable,
                        "only variables that begin with TANSYFERRY_ may be set");
            }
        }
        if (scenario.fleet().zones().isEmpty()
                || scenario.fleet().zones().stream().anyMatch(zone -> !zone.matches("[\\w-]+"))) {
            throw invalid("fleet.zones", "no list of names: " + scenario.fleet().zones());
        }
        requireBetween(
                "upstreams.count",
                scenario.upstreams().count(),
                1,
                simulated ? MAX_SIMULATED_UPSTREAMS : MAX_UPSTREAMS);
        requireBetween("upstreams.cores", scenario.upstreams().cores(), 1, 1000);
        requireBetween("upstreams.waiting", scenario.upstreams().queueCapacity(), 0, 100_000);
        requireBetween("upstreams.connections", scenario.upstreams().maxConnections(), 1, 100_000);
        requireBetween(
                "upstreams.cold_from", scenario.upstreams().slowStartInitialFraction(), 0.01, 1);
        requireBetween("upstreams.ramp_s", scenario.upstreams().slowStartWindowS(), 0, 3600);
        requireBetween(
                "upstreams.overload_factor", scenario.upstreams().overloadFactor(), 0.1, 100);
        requireBetween("upstreams.fall_s", scenario.upstreams().overloadWindowS(), 0.1, 60);
        for (int i = 0; i < scenario.upstreams().machineKinds().size(); i++) {
            requireBetween(
                    "upstreams.kinds[" + i + "].speed",
                    scenario.upstreams().machineKinds().get(i).speed(),
                    0.01,
                    100);
            requireBetween(
                    "upstreams.kinds[" + i + "].share",
                    scenario.upstreams().machineKinds().get(i).weight(),
                    0,
                    1000);
        }
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
        requireRange("network.zone_delay_ms", scenario.network().zoneDelayMs());
        requireRange("network.peer_delay_ms", scenario.network().peerDelayMs());
        requireRange("network.news_delay_ms", scenario.network().discoveryDelayMs());
        requireBetween("network.peer_loss", scenario.network().peerLoss(), 0, 1);
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
        for (int i = 0; i < scenario.classes().size(); i++) {
            Scenario.RequestClass requestClass = scenario.classes().get(i);
            String location = "class[" + i + "].";
            requireOneOf(
                    location + "effect",
                    requestClass.idempotency(),
                    Set.of("safe", "keyed", "unsafe"));
            requireOneOf(
                    location + "scope", requestClass.idempotencyScope(), Set.of("all", "zone"));
            requireBetween(location + "share", requestClass.trafficWeight(), 0, 1000);
            requireBetween(location + "deadline_ms", requestClass.deadlineMs(), 10, 60_000);
            requireBetween(
                    location + "aim_ms",
                    requestClass.latencyObjectiveMs(),
                    1,
                    requestClass.deadlineMs());
            requireRange(location + "work_ms", requestClass.workMs());
        }
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
        for (int i = 0; i < scenario.faults().size(); i++) {
            validate(scenario, scenario.faults().get(i), "fault[" + i + "]");
        }
    }

    // Balancers read them from headers and lists: a space would make every request an unknown one.
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
        FaultKind kind = FaultKind.fromKeyword(fault.kind());
        if (kind == null) {
            throw invalid(location + ".kind", "unknown kind of fault: '" + fault.kind() + "'");
        }
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
        } catch (IllegalArgumentException e) {
            throw invalid(location, e.getMessage());
        }
    }
}
