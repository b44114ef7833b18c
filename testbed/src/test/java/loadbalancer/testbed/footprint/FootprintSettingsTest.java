package loadbalancer.testbed.footprint;

import java.io.IOException;
import loadbalancer.testbed.GoldenSettings;
import org.junit.jupiter.api.Test;

/** Tests that a measured process has the settings of the recorded measurements. */
class FootprintSettingsTest {
    @Test
    void singleBalancerGetsRecordedSettings() throws IOException {
        GoldenSettings.assertMatches(
                "footprint-single.txt", FootprintCase.parse("servers=40").settings());
    }

    @Test
    void tierWithTenantsGetsRecordedSettings() throws IOException {
        GoldenSettings.assertMatches(
                "footprint-tenants.txt", FootprintCase.parse("tenants=3,balancers=7").settings());
    }
}
