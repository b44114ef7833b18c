package loadbalancer.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Map;
import loadbalancer.routing.api.PolicySnapshot;
import org.junit.jupiter.api.Test;

class PolicySnapshotCodecTest {
    @Test
    void invalidPolicySnapshotIsRejected() {
        Map<String, Object> invalid =
                PolicySnapshotCodec.encode(new PolicySnapshot(List.of(), List.of(-1.0)));
        assertEquals(
                "no number from 0 to 1.0E9: -1.0",
                assertThrows(
                                MalformedPolicySnapshotException.class,
                                () -> PolicySnapshotCodec.decode(invalid))
                        .getMessage());
        for (Object malformed :
                new Object[] {
                    "x",
                    Map.of(),
                    Map.of("servers", List.of(3), "latencies", List.of()),
                    Map.of("servers", List.of(Map.of("uid", 3)), "latencies", List.of())
                }) {
            assertThrows(
                    MalformedPolicySnapshotException.class,
                    () -> PolicySnapshotCodec.decode(malformed),
                    malformed.toString());
        }
    }
}
