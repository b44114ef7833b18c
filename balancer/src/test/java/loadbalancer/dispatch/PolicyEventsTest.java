package loadbalancer.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.routing.api.EndpointListKind;
import org.junit.jupiter.api.Test;

/** Tests the order of the policy's events and the handling of its exceptions. */
class PolicyEventsTest {
    private final RecordingPolicy policy = new RecordingPolicy();
    private final List<String> logLines = new ArrayList<>();
    private final PolicyEvents policyEvents =
            new PolicyEvents(policy, new MonotonicClock(), logLines::add);

    @Test
    void eventDuringAnotherEventIsDeferred() {
        policy.onTimer(() -> policyEvents.endpointListReceived(EndpointListKind.FAILED, null));
        policyEvents.timerExpired();
        assertEquals(List.of("timer begins", "timer ends", "list FAILED 0"), policy.events());
    }

    @Test
    void exceptionOfThePolicyIsLoggedAndTheNextEventIsHandled() {
        policy.onTimer(
                () -> {
                    policyEvents.endpointListReceived(EndpointListKind.FAILED, null);
                    throw new ArithmeticException("planted");
                });
        policyEvents.timerExpired();
        assertEquals(List.of("timer begins", "list FAILED 0"), policy.events());
        assertEquals(1, policyEvents.exceptionCount());
        assertEquals(1, logLines.size());
        String expectedStart =
                "routing policy exception: count=1"
                        + " exception=java.lang.ArithmeticException: planted at loadbalancer.";
        assertTrue(logLines.get(0).startsWith(expectedStart), logLines.get(0));
    }

    @Test
    void retiredPolicyGetsNoEvent() {
        policyEvents.retire();
        policyEvents.timerExpired();
        assertEquals(List.of(), policy.events());
    }
}
