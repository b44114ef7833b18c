package loadbalancer.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests how readiness, drain and shutdown combine. */
class ServingStateTest {
    @ParameterizedTest
    @CsvSource(
            useHeadersInDisplayName = true,
            textBlock =
                    """
                    READY, DRAINING, STOPPING, IS_READY, ENDS_CONNECTIONS
                    false, false,    false,    false,    false
                    true,  false,    false,    true,     false
                    true,  true,     false,    false,    true
                    true,  false,    true,     false,    true
                    true,  true,     true,     false,    true
                    false, true,     false,    false,    true
                    """)
    void readinessAndClosingOfConnections(
            boolean ready,
            boolean draining,
            boolean stopping,
            boolean expectedReady,
            boolean expectedEndsConnections) {
        ServingState state = new ServingState();
        if (ready) {
            state.setReady();
        }
        state.setDraining(draining);
        if (stopping) {
            state.setStopping();
        }
        assertEquals(expectedReady, state.isReady());
        assertEquals(expectedEndsConnections, state.endsConnections());
    }

    @ParameterizedTest
    @CsvSource({"false, true", "true, false"})
    void endOfADrainRestoresReadinessUnlessStopping(boolean stopping, boolean expectedReady) {
        ServingState state = new ServingState();
        state.setReady();
        state.setDraining(true);
        if (stopping) {
            state.setStopping();
        }
        state.setDraining(false);
        assertEquals(expectedReady, state.isReady());
    }
}
