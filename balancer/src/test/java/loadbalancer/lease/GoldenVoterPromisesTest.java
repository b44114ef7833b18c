package loadbalancer.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import loadbalancer.GoldenFiles;
import org.junit.jupiter.api.Test;

/**
 * Compares the promises that a voter stores on disk with a golden file byte for byte, with the
 * minimum and maximum value of each field.
 */
class GoldenVoterPromisesTest {
    private static final String FILE = "lease/voter-promises.hex";
    private static final int MAX_MEMBER = (1 << 14) - 1;
    private static final int MAX_PROCESS_ID = (1 << 15) - 1;
    private static final int MAX_GRANTEE_ID = 0x7fff3fff;

    static List<VoterPromise> promises() {
        return List.of(
                new VoterPromise(0, -1),
                new VoterPromise(0, 0),
                new VoterPromise(1, 65_537),
                new VoterPromise((1L << 48) - 1, MAX_GRANTEE_ID),
                new VoterPromise(1L << 32, 16_909_060));
    }

    @Test
    void decodesGoldenBytes() {
        assertEquals(
                Optional.of(promises()),
                VoterPromise.decode(GoldenFiles.bytes(FILE), promises().size()));
    }

    @Test
    void encodesToGoldenBytes() {
        assertEquals(GoldenFiles.text(FILE), GoldenFiles.hexLines(VoterPromise.encode(promises())));
    }

    @Test
    void granteeIdJoinsMemberAndProcess() {
        assertEquals(MAX_GRANTEE_ID, VoterPromise.granteeId(MAX_MEMBER, MAX_PROCESS_ID));
        assertEquals(65_537, VoterPromise.granteeId(1, 1));
        assertEquals(new VoterPromise(9, -1), VoterPromise.initial(9));
    }
}
