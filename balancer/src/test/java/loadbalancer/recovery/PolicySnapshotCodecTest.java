package loadbalancer.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Map;
import loadbalancer.routing.api.PolicySnapshot;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests {@link PolicySnapshotCodec}: which malformed snapshots are rejected. */
class PolicySnapshotCodecTest {
    @Test
    void numberOutOfRangeIsRejected() {
        Map<String, Object> invalid =
                PolicySnapshotCodec.encode(new PolicySnapshot(List.of(), List.of(-1.0)));
        assertEquals(
                "not a number from 0 to 1.0E9: -1.0",
                assertThrows(
                                MalformedPolicySnapshotException.class,
                                () -> PolicySnapshotCodec.decode(invalid))
                        .getMessage());
    }

    static List<Object> malformedSnapshots() {
        return List.of(
                "x",
                Map.of(),
                Map.of("servers", List.of(3), "latencies", List.of()),
                Map.of("servers", List.of(Map.of("uid", 3)), "latencies", List.of()));
    }

    @ParameterizedTest
    @MethodSource("malformedSnapshots")
    void malformedSnapshotIsRejected(Object malformed) {
        assertThrows(
                MalformedPolicySnapshotException.class,
                () -> PolicySnapshotCodec.decode(malformed));
    }
}
