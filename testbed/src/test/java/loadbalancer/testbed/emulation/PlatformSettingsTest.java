package loadbalancer.testbed.emulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Path;
import loadbalancer.testbed.GoldenSettings;
import loadbalancer.testbed.scenario.Scenario;
import loadbalancer.testbed.scenario.ScenarioReader;
import org.junit.jupiter.api.Test;

/** Compares the settings of a scenario's balancers with recorded golden settings. */
class PlatformSettingsTest {
    @Test
    void scenarioWithTenantsGivesRecordedSettings() throws IOException {
        GoldenSettings.assertMatches(
                "scenario-tenants.txt", PlatformSettings.settings(readScenario("zone-left"), 13));
    }

    @Test
    void scenarioWithoutTenantsGivesRecordedSettings() throws IOException {
        GoldenSettings.assertMatches(
                "scenario-plain.txt", PlatformSettings.settings(minimalScenario(), 0));
    }

    @Test
    void simulatedBalancerReadsRecordedSettings() throws IOException {
        assertEquals(
                GoldenSettings.read("scenario-boot.txt"),
                PlatformSettings.bootSettings(readScenario("zone-left"), 13) + "\n");
    }

    private static Scenario minimalScenario() {
        return ScenarioReader.parse(
                "test",
                """
                name = "minimal"
                length_s = 5

                [fleet]
                balancers = 2

                [upstreams]
                count = 3

                [load]
                rate = 30

                [[class]]
                name = "read"
                share = 1
                effect = "safe"
                aim_ms = 100
                deadline_ms = 1000
                work_ms = [5, 10]
                """,
                false);
    }

    private static Scenario readScenario(String name) throws IOException {
        return ScenarioReader.read(Path.of("scenarios", name + ".toml"), false);
    }
}
