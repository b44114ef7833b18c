package loadbalancer.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.proxy.ProxyRequestFixtures;
import loadbalancer.routing.api.EndpointListKind;
import org.junit.jupiter.api.Test;

/** Tests the order of the policy's events and the handling of its exceptions. */
class PolicyEventsTest {
    private final EmbeddedChannel channel = new EmbeddedChannel();
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

    /** Guards against errors that end the event loop's task, such as a full stack. */
    @Test
    void errorOfThePolicyIsLoggedAndTheNextEventIsHandled() {
        policy.onTimer(
                () -> {
                    policyEvents.endpointListReceived(EndpointListKind.FAILED, null);
                    throw new StackOverflowError("planted");
                });
        policyEvents.timerExpired();
        assertEquals(List.of("timer begins", "list FAILED 0"), policy.events());
        assertEquals(1, policyEvents.exceptionCount());
    }

    /** Guards against connections that are neither used nor closed after such an exception. */
    @Test
    void exceptionOfAQueryMeansNo() {
        RequestTable requests = new RequestTable(channel.eventLoop(), RequestIds.inMemory());
        ExchangeAttempt attempt =
                requests.add(
                                ProxyRequestFixtures.getRequest("r1"),
                                new RecordingResponseSender(),
                                0)
                        .addAttempt("s1", 0);
        assertTrue(policyEvents.canStartAttempt(attempt));
        policy.onQuery(
                () -> {
                    throw new ArithmeticException("planted");
                });
        assertFalse(policyEvents.canStartAttempt(attempt));
        assertFalse(policyEvents.mayResponseTakeUntilDeadline(attempt));
        assertEquals(2, policyEvents.exceptionCount());
    }

    @Test
    void retiredPolicyGetsNoEvent() {
        policyEvents.retire();
        policyEvents.timerExpired();
        assertEquals(List.of(), policy.events());
    }
}
