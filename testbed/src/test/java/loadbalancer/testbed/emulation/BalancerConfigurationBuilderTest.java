package loadbalancer.testbed.emulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Verifies the exact JSON text of a configuration. */
class BalancerConfigurationBuilderTest {
    @Test
    void allKeysAreWrittenInOrderOfCalls() {
        Map<String, Object> configuration =
                new BalancerConfigurationBuilder("n3", "127.0.0.1:81")
                        .admin("127.0.0.1:82")
                        .discovery("127.0.0.1:83")
                        .seed("00ff")
                        .limits(192, 1024)
                        .peers("127.0.0.1:84", List.of("127.0.0.1:85", "127.0.0.1:84"))
                        .broadcast("127.0.0.1:86")
                        .build(Map.of("rev", 1), Map.of("Rank", 3));
        assertEquals(
                "{\"name\":\"n3\",\"listen\":\"127.0.0.1:81\",\"admin\":\"127.0.0.1:82\","
                        + "\"discovery\":\"127.0.0.1:83\",\"seed\":\"00ff\","
                        + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                        + "\"peer_listen\":\"127.0.0.1:84\","
                        + "\"peers\":[\"127.0.0.1:85\",\"127.0.0.1:84\"],"
                        + "\"peers_all\":\"127.0.0.1:86\","
                        + "\"known\":{\"rev\":1},\"settings\":{\"Rank\":3}}",
                Json.write(configuration));
    }
}
