package loadbalancer.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class VoterPromiseTest {
    private static final List<VoterPromise> PROMISES =
            List.of(new VoterPromise(3, -1), new VoterPromise(9, 4));

    @Test
    void promisesRoundTripThroughBytes() {
        assertEquals(Optional.of(PROMISES), VoterPromise.decode(VoterPromise.encode(PROMISES), 2));
    }

    @Test
    void corruptPromisesAreNotDecoded() {
        byte[] encoded = VoterPromise.encode(PROMISES);
        assertEquals(Optional.empty(), VoterPromise.decode(encoded, 3));
        assertEquals(Optional.empty(), VoterPromise.decode(new byte[0], 2));
        encoded[0] = -1;
        assertEquals(Optional.empty(), VoterPromise.decode(encoded, 2));
    }
}
