package loadbalancer.testbed.capacity;

import java.io.IOException;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import loadbalancer.testbed.GoldenSettings;
import org.junit.jupiter.api.Test;

/** Tests that real balancers in a fleet have the configuration of the recorded measurements. */
class RealBalancerConfigTest {
    @Test
    void balancerOfSeveralZonesGetsRecordedConfiguration() throws IOException {
        Map<String, Object> configuration = configuration(3, 4);
        GoldenSettings.assertMatches("capacity-zones.txt", configuration);
        GoldenSettings.assertMatches("capacity-zones-settings.txt", settingsOf(configuration));
    }

    @Test
    void balancerOfSingleZoneGetsRecordedConfiguration() throws IOException {
        Map<String, Object> configuration = configuration(1, 1);
        GoldenSettings.assertMatches("capacity-single-zone.txt", configuration);
        GoldenSettings.assertMatches(
                "capacity-single-zone-settings.txt", settingsOf(configuration));
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> settingsOf(Map<String, Object> configuration) {
        return (Map<String, Object>) configuration.get("settings");
    }

    private static Map<String, Object> configuration(int zones, int classes) {
        FleetSpec fleetSpec =
                new FleetSpec(5, 6, zones, classes, 2.5, EnumSet.allOf(BalancerComponent.class));
        return RealBalancerConfig.configuration(
                fleetSpec,
                4,
                77,
                "127.0.0.1:81",
                "127.0.0.1:82",
                "127.0.0.1:83",
                List.of("127.0.0.1:84", "127.0.0.1:83"),
                "127.0.0.1:85");
    }
}
