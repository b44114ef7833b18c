package loadbalancer.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashMap;
import java.util.Map;
import loadbalancer.config.SettingsFlattener;
import loadbalancer.config.SettingsReader;
import loadbalancer.server.BalancerServerFixtures;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that {@link DiscoveryTiming} derives its timeouts from the discovery mode and the drain
 * grace period.
 */
class DiscoveryTimingTest {
    @ParameterizedTest
    @CsvSource(
            useHeadersInDisplayName = true,
            textBlock =
                    """
                mode, DrainGrace in us, first response timeout in ms, backoff in ms
                push, 1000000,          250,                          62
                push, 100000,           100,                          25
                push, 60000000,         700,                          175
                ask,  1000000,          700,                          175
                """)
    void timeoutsFollowFromTheDrainGrace(
            String mode, long drainGraceMicros, long firstResponseTimeoutMs, long backoffMs) {
        Map<String, String> settings =
                new HashMap<>(SettingsFlattener.flatten(BalancerServerFixtures.settings()));
        settings.put("MembershipMode", mode);
        settings.put("Rules.DrainGrace", Long.toString(drainGraceMicros));
        assertEquals(
                new DiscoveryTiming(firstResponseTimeoutMs, backoffMs),
                DiscoveryTiming.of(SettingsReader.read(settings)));
    }
}
