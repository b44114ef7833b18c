package loadbalancer.server;

import static loadbalancer.server.BalancerServerFixtures.requestWithId;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests attempts and connections that end in the event-loop iteration in which they are used. */
class AttemptRaceTest extends BalancerServerTestSupport {
    private static final long ATTEMPT_TIMEOUT_MICROS = 300_000;

    /** The policy disallows starting an attempt while the attempt waits for its connection. */
    @Test
    void disallowedAttemptIsNotWritten() throws Exception {
        try (FullBacklogListener backlogListener = new FullBacklogListener()) {
            start(backlogListener.address());
            try (HttpTestClient client = new HttpTestClient(address).send(requestWithId("late"))) {
                awaitRequest();
                policy.allowsAttemptStarts = false;
                Socket accepted = backlogListener.acceptNext();
                assertEquals("NOT_SENT", policy.nextEvent());
                assertEquals(502, client.readStatus());
                policy.allowsAttemptStarts = true;
                client.send(requestWithId("r2"));
                assertRequestArrivesOn(accepted, "r2");
            }
        }
    }

    /**
     * An idle connection is chosen for a request while its close, its reset or unsolicited data is
     * still unread. The request must get a new connection instead.
     */
    @ParameterizedTest(name = "{0}")
    @ValueSource(
            strings = {
                "close",
                "reset",
                "HTTP/1.1 2",
                "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
            })
    void idleConnectionWithPendingDataIsNotUsed(String arrival) throws Exception {
        start();
        try (HttpTestClient client = new HttpTestClient(address).send(requestWithId("r1"))) {
            awaitRequest();
            FakeHttpServer.ReceivedRequest firstRequest = serveNext(client, "r1");
            assertEquals("OK closed", policy.nextEvent());
            policy.endpointId = null;
            client.send(requestWithId("r2"));
            awaitRequest();
            EventLoopStall stall =
                    new EventLoopStall(
                            balancer.loop(),
                            () -> policy.capturedActions.send(policy.lastRequestId, "s1", 0));
            switch (arrival) {
                case "close" -> firstRequest.socket().close();
                case "reset" -> firstRequest.reset();
                default -> firstRequest.sendRaw(arrival);
            }
            if (firstRequest.socket().isClosed()) {
                upstream.awaitClosed(firstRequest);
            }
            stall.release();
            assertEquals(2, serveNext(client, "r2").connectionNumber());
            assertEquals("OK closed", policy.nextEvent());
        }
    }

    /**
     * The response and the attempt's timeout are due in the same iteration. The loop either reads
     * the response first, or ends the attempt before it reads.
     */
    @ParameterizedTest(name = "responseFirst={0}")
    @ValueSource(booleans = {false, true})
    void responseRacingTimeoutEndsAttemptOnce(boolean responseFirst) throws Exception {
        start();
        policy.timeoutMicros = ATTEMPT_TIMEOUT_MICROS;
        try (HttpTestClient client = new HttpTestClient(address).send(requestWithId("r1"))) {
            FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
            EventLoopStall stall =
                    new EventLoopStall(
                            balancer.loop(),
                            () -> {
                                if (!responseFirst) {
                                    policy.capturedActions.cancel(policy.lastRequestId, 0);
                                }
                            });
            receivedRequest.respond(200, "", "r1");
            // The timeout is due as well after this pause.
            TimeUnit.MICROSECONDS.sleep(ATTEMPT_TIMEOUT_MICROS);
            stall.release();
            assertEquals(responseFirst ? 200 : 502, client.readStatus());
            assertEquals(responseFirst ? "OK closed" : "CANCELLED", policy.nextEvent());
            policy.timeoutMicros = 0;
            client.send(requestWithId("r2"));
            serveNext(client, "r2");
            assertEquals("OK closed", policy.nextEvent());
        }
    }
}
