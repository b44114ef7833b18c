package junctionhead.lab.scenario;

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
    private static final int BALANCERS_MOST = 40;
    private static final int UPSTREAMS_MOST = 200;
    private static final int SIMULATED_BALANCERS_MOST = 1_600;
    private static final int SIMULATED_UPSTREAMS_MOST = 14_000;

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
     * @throws BadScenario with one line that names the file, the place and what is wrong there
     */
    public static Scenario read(Path path, boolean simulated) {
        String text;
        try {
            text = Files.readString(path);
        } catch (IOException e) {
            throw new BadScenario(path.toString(), "", "can't be read: " + e.getMessage());
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
            throw bad(place(e.getPath()), "unknown field");
        } catch (JsonMappingException e) {
            throw bad(place(e.getPath()), e.getOriginalMessage().lines().findFirst().orElse(""));
        } catch (JsonProcessingException e) {
            throw bad("line " + e.getLocation().getLineNr(), e.getOriginalMessage());
        }
        check(scenario);
        return scenario;
    }

    private static String place(List<JsonMappingException.Reference> path) {
        return path.stream()
                .map(r -> r.getFieldName() != null ? r.getFieldName() : "[" + r.getIndex() + "]")
                .collect(Collectors.joining("."))
                .replace(".[", "[");
    }

    private BadScenario bad(String place, String what) {
        return new BadScenario(file, place, what);
    }

    private void between(String place, double value, double least, double most) {
        if (!(value >= least && value <= most)) {
            throw bad(
                    place,
                    plain(value) + " is not between " + plain(least) + " and " + plain(most));
        }
    }

    private static String plain(double value) {
        return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
    }

    private void oneOf(String place, String value, Set<String> words) {
        if (!words.contains(value)) {
            throw bad(
                    place,
                    "'"
                            + value
                            + "' is none of "
                            + String.join(", ", words.stream().sorted().toList()));
        }
    }

    private void range(String place, List<Double> range) {
        if (range.size() != 2 || range.get(0) < 0 || range.get(1) < range.get(0)) {
            throw bad(place, "not a range [least, most]: " + range);
        }
    }

    private void check(Scenario s) {
        between("length_s", s.lengthS(), 1, 3600);
        between(
                "fleet.balancers",
                s.fleet().balancers(),
                1,
                simulated ? SIMULATED_BALANCERS_MOST : BALANCERS_MOST);
        between("fleet.memory_mb", s.fleet().memoryMb(), 32, 4096);
        between("fleet.sockets", s.fleet().sockets(), 256, 65_536);
        between("fleet.step_ms", s.fleet().stepMs(), 0, 60_000);
        oneOf("fleet.start", s.fleet().start(), Set.of("together", "in_step"));
        for (String variable : s.fleet().environment().keySet()) {
            if (!variable.startsWith("TANSYFERRY_")) {
                throw bad(
                        "fleet.environment." + variable,
                        "only variables that begin with TANSYFERRY_ may be set");
            }
        }
        if (s.fleet().zones().isEmpty()
                || s.fleet().zones().stream().anyMatch(z -> !z.matches("[\\w-]+"))) {
            throw bad("fleet.zones", "no list of names: " + s.fleet().zones());
        }
        between(
                "upstreams.count",
                s.upstreams().count(),
                1,
                simulated ? SIMULATED_UPSTREAMS_MOST : UPSTREAMS_MOST);
        between("upstreams.cores", s.upstreams().cores(), 1, 1000);
        between("upstreams.waiting", s.upstreams().waiting(), 0, 100_000);
        between("upstreams.connections", s.upstreams().connections(), 1, 100_000);
        between("upstreams.cold_from", s.upstreams().coldFrom(), 0.01, 1);
        between("upstreams.ramp_s", s.upstreams().rampS(), 0, 3600);
        between("upstreams.overload_factor", s.upstreams().overloadFactor(), 0.1, 100);
        between("upstreams.fall_s", s.upstreams().fallS(), 0.1, 60);
        for (int i = 0; i < s.upstreams().kinds().size(); i++) {
            between(
                    "upstreams.kinds[" + i + "].speed",
                    s.upstreams().kinds().get(i).speed(),
                    0.01,
                    100);
            between(
                    "upstreams.kinds[" + i + "].share",
                    s.upstreams().kinds().get(i).share(),
                    0,
                    1000);
        }
        between("load.rate", s.load().rate(), 0.1, 100_000);
        between("load.retries", s.load().retries(), 0, 10);
        between("load.rise_s", s.load().riseS(), 0, s.lengthS());
        between("load.hasty", s.load().hasty(), 0, 1);
        if (!s.load().zoneShares().isEmpty()
                && s.load().zoneShares().size() != s.fleet().zones().size()) {
            throw bad(
                    "load.zone_shares", "as many as zones are wanted: " + s.fleet().zones().size());
        }
        range("network.zone_delay_ms", s.network().zoneDelayMs());
        range("network.peer_delay_ms", s.network().peerDelayMs());
        range("network.news_delay_ms", s.network().newsDelayMs());
        between("network.peer_loss", s.network().peerLoss(), 0, 1);
        if (s.classes().isEmpty()) {
            throw bad("class", "no class of requests");
        }
        names("class", s.classes().stream().map(Scenario.RequestClass::name).toList());
        names("tenant", s.tenants().stream().map(Scenario.Tenant::name).toList());
        names("upstreams.kinds", s.upstreams().kinds().stream().map(Scenario.Kind::name).toList());
        for (int i = 0; i < s.classes().size(); i++) {
            Scenario.RequestClass c = s.classes().get(i);
            String at = "class[" + i + "].";
            oneOf(at + "effect", c.effect(), Set.of("safe", "keyed", "unsafe"));
            oneOf(at + "scope", c.scope(), Set.of("all", "zone"));
            between(at + "share", c.share(), 0, 1000);
            between(at + "deadline_ms", c.deadlineMs(), 10, 60_000);
            between(at + "aim_ms", c.aimMs(), 1, c.deadlineMs());
            range(at + "work_ms", c.workMs());
        }
        for (int i = 0; i < s.expect().neverTwo().size(); i++) {
            Scenario.One one = s.expect().neverTwo().get(i);
            String at = "expect.never_two[" + i + "].";
            pattern(at + "what", one.what());
            pattern(at + "takes", one.takes());
            pattern(at + "leaves", one.leaves());
        }
        if (s.expect().zoneLeftWithinS() != null
                && s.faults().stream()
                        .noneMatch(f -> Set.of("crash", "vanish").contains(f.kind()))) {
            throw bad("expect.zone_left_within_s", "no upstreams crash or vanish");
        }
        for (int i = 0; i < s.faults().size(); i++) {
            check(s, s.faults().get(i), "fault[" + i + "]");
        }
    }

    // Balancers read them from headers and lists: a space would make every request an unknown one.
    private void names(String place, List<String> names) {
        for (int i = 0; i < names.size(); i++) {
            if (!names.get(i).matches("[\\w-]+")) {
                throw bad(place + "[" + i + "].name", "no plain name: '" + names.get(i) + "'");
            }
            if (names.indexOf(names.get(i)) < i) {
                throw bad(
                        place + "[" + i + "].name",
                        "there is one of that name already: '" + names.get(i) + "'");
            }
        }
    }

    private void pattern(String place, String text) {
        if (text == null || text.isEmpty()) {
            throw bad(place, "missing");
        }
        try {
            Pattern.compile(text);
        } catch (PatternSyntaxException e) {
            throw bad(place, "no regular expression: " + e.getDescription());
        }
    }

    private void check(Scenario s, Scenario.Fault f, String at) {
        FaultKind kind = FaultKind.of(f.kind());
        if (kind == null) {
            throw bad(at + ".kind", "unknown kind of fault: '" + f.kind() + "'");
        }
        if (f.atS() == null) {
            throw bad(at + ".at_s", "missing: when it begins");
        }
        between(at + ".at_s", f.atS(), 0, s.lengthS());
        if (kind.lasts() && f.untilS() == null) {
            throw bad(at + ".until_s", "missing: when it ends");
        }
        if (f.untilS() != null) {
            between(at + ".until_s", f.untilS(), f.atS(), s.lengthS());
        }
        Selector on = select(s, f.on(), at + ".on");
        if (kind.party() == FaultKind.Party.BALANCERS && !on.upstreams().isEmpty()) {
            throw bad(at + ".on", kind.word() + " is for balancers");
        }
        if (kind.party() == FaultKind.Party.UPSTREAMS && !on.balancers().isEmpty()) {
            throw bad(at + ".on", kind.word() + " is for upstreams");
        }
        if (kind.path()) {
            select(s, f.to(), at + ".to");
        } else if (f.to() != null) {
            throw bad(at + ".to", kind.word() + " is about no path");
        }
        switch (kind) {
            case LOSS, REPEAT, REORDER -> between(at + ".amount", amount(f, at), 0, 1);
            case SLOW -> between(at + ".amount", amount(f, at), 1, 1000);
            case THIN -> between(at + ".amount", amount(f, at), 100, 1e9);
            default -> {}
        }
        if (f.requestClass() != null
                && s.classes().stream().noneMatch(c -> c.name().equals(f.requestClass()))) {
            throw bad(at + ".class", "no class '" + f.requestClass() + "'");
        }
        oneOf(at + ".state", f.state(), Set.of("kept", "emptied", "cut", "flipped", "older"));
    }

    private double amount(Scenario.Fault f, String at) {
        if (f.amount() == null) {
            throw bad(at + ".amount", "missing");
        }
        return f.amount();
    }

    private Selector select(Scenario s, String text, String at) {
        if (text == null) {
            throw bad(at, "missing: whom it is about");
        }
        try {
            return Selector.of(text, s, RandomSource.XO_RO_SHI_RO_128_PP.create(1L));
        } catch (IllegalArgumentException e) {
            throw bad(at, e.getMessage());
        }
    }
}
