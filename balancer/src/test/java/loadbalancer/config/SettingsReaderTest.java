package loadbalancer.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.routing.api.DeduplicationScope;
import loadbalancer.routing.api.DiscoveryMode;
import loadbalancer.routing.api.Idempotency;
import loadbalancer.routing.api.LoadReportSource;
import loadbalancer.routing.api.RequestClass;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests {@link SettingsReader} with settings from {@link SettingsFlattener}. */
class SettingsReaderTest {
    private static Map<String, String> settings() {
        Map<String, Object> tree = new HashMap<>();
        tree.put("Balancers", 2);
        tree.put("Quantum", 5_000);
        tree.put("MembershipMode", "ask");
        tree.put("Areas", List.of("zone a", "b"));
        tree.put("Stats", Map.of("How", "answers", "Fields", List.of("backlog", "recent_ms")));
        tree.put(
                "Classes",
                List.of(
                        Map.of(
                                "Name",
                                "read, fast",
                                "Idempotency",
                                "keyed",
                                "DedupScope",
                                "zone",
                                "GoalTime",
                                600_000,
                                "GiveUp",
                                1_200_000)));
        tree.put(
                "Limits", Map.of("TryLimit", 3, "MayDuplicate", true, "Cancel", true, "Probes", 1));
        tree.put(
                "Rules",
                Map.of(
                        "AnswerSlack",
                        20_000,
                        "DrainGrace",
                        1_000_000,
                        "AskWithin",
                        10_000_000,
                        "ColdFrom",
                        0.2,
                        "RampTime",
                        20_000_000,
                        "OverloadFactor",
                        2.5,
                        "Fall",
                        1_500_000));
        return SettingsFlattener.flatten(tree);
    }

    private static InvalidSettingException readInvalid(Map<String, String> settings) {
        return assertThrows(InvalidSettingException.class, () -> SettingsReader.read(settings));
    }

    @Test
    void platformTermsAreTranslatedToConstants() {
        BootSettings boot = SettingsReader.read(settings());
        assertEquals(DiscoveryMode.POLL, boot.settings().discoveryMode());
        assertEquals(LoadReportSource.RESPONSES, boot.settings().loadReportSource());
        RequestClass requestClass = boot.settings().requestClasses().get(0);
        assertEquals(Idempotency.IDEMPOTENCY_KEY, requestClass.idempotency());
        assertEquals(DeduplicationScope.ZONE, requestClass.deduplicationScope());
    }

    @Test
    void namesAreNormalized() {
        BootSettings boot = SettingsReader.read(settings());
        assertEquals(List.of("read__fast"), boot.classNames());
        assertEquals(List.of("zone_a", "b"), boot.zoneNames());
        assertEquals(List.of("backlog", "recent_ms"), boot.loadFields());
    }

    @ParameterizedTest
    @CsvSource({
        "Quantum, -, required setting is missing",
        "Rules.AskWithin, -, required setting is missing",
        "Quantum, 5s, not a whole number: '5s'",
        "Rules.ColdFrom, low, not a number: 'low'",
        "Rules.ColdFrom, NaN, not a finite number: 'NaN'",
        "Limits.Cancel, yes, not true or false: 'yes'",
        "MembershipMode, pull, unknown word: 'pull'",
        "Classes.count, 99, not a valid number of entries: 99",
        "Locality, 2, not between 0 and 1: 2",
    })
    void invalidSettingIsReportedWithItsProblem(String path, String value, String problem) {
        Map<String, String> settings = settings();
        settings.put(path, value);
        InvalidSettingException exception = readInvalid(settings);
        assertEquals(path, exception.path());
        assertEquals(problem, exception.problem());
        assertEquals(path + ": " + problem, exception.getMessage());
    }

    /** The deadline of polls may be missing if the list is pushed. */
    @Test
    void pollDeadlineIsOptionalIfListsArePushed() {
        Map<String, String> settings = settings();
        settings.put("MembershipMode", "PUSH");
        settings.remove("Rules.AskWithin");
        assertEquals(DiscoveryMode.PUSH, SettingsReader.read(settings).settings().discoveryMode());
    }
}
