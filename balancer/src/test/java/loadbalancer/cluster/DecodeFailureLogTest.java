package loadbalancer.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests {@link DecodeFailureLog}: a peer can't flood the log. */
class DecodeFailureLogTest {
    @Test
    void onlyTheFirstFailureIsLogged() {
        List<String> lines = new ArrayList<>();
        DecodeFailureLog decodeFailures = new DecodeFailureLog("lease", lines::add);
        decodeFailures.onDecodeFailure(3);
        decodeFailures.onDecodeFailure(4);
        assertEquals(List.of("lease message ignored: from=3 reason=undecodable"), lines);
    }
}
