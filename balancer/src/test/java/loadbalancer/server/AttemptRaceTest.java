package loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Attempts that end, or connections that do, in the turn in which they are used. */
class AttemptRaceTest extends BalancerServerTestSupport {
    @Test
    void disallowedAttemptIsNotWritten() throws Exception {
        try (FullBacklogListener backlogListener = new FullBacklogListener()) {
            start(backlogListener.address());
            try (HttpTestClient client = new HttpTestClient(address).send(requestWithId("late"))) {
                awaitRequest();
                policy.canStartAttempt = false;
                Socket accepted = backlogListener.acceptNext();
                assertEquals("NOT_SENT", policy.nextEvent());
                assertEquals(502, client.readStatus());
                policy.canStartAttempt = true;
                client.send(requestWithId("r2"));
                assertTrue(
                        FakeHttpServer.readHead(accepted.getInputStream()).contains("Req-Id: r2"));
            }
        }
    }

    /** An idle connection is chosen while its close, or unsolicited data, is arriving. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "end",
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
                case "end" -> firstRequest.socket().close();
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
     * Both orders: the loop reads the answer before it looks at the clock, or the attempt ended
     * before.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void responseRacingTimeoutEndsAttemptOnce(boolean responseFirst) throws Exception {
        start();
        policy.timeoutMicros = 300_000;
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
            long deadlineNanos = System.nanoTime() + 300_000_000;
            while (System.nanoTime() < deadlineNanos) {
                // Until its time-out is due as well
                Thread.onSpinWait();
            }
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
