package loadbalancer.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Tests that many clients together can't buffer more of their requests than the limit, which used
 * to exhaust the heap and end the process, and that other clients are served meanwhile.
 */
class RequestMemoryBudgetTest {
    private static final int BODY_BYTES = RequestReader.MAX_BUFFERED_BODY_BYTES;
    private static final int MAX_BODIES = EmbeddedFrontend.MAX_REQUEST_MEMORY_BYTES / BODY_BYTES;
    private static final int MAX_PIPELINED_BODIES =
            EmbeddedFrontend.MAX_PIPELINED_MEMORY_BYTES / BODY_BYTES;
    private static final String POST_WITHOUT_LAST_BYTE =
            EmbeddedFrontend.POST_HEAD
                    + "Content-Length: "
                    + BODY_BYTES
                    + "\r\n\r\n"
                    + "x".repeat(BODY_BYTES - 1);
    private static final String POST = POST_WITHOUT_LAST_BYTE + "x";
    private static final String SHORT_POST =
            EmbeddedFrontend.POST_HEAD + "Content-Length: 4096\r\n\r\n" + "x".repeat(4096);

    private final EmbeddedFrontend frontend = new EmbeddedFrontend();
    private final RequestMemoryBudget budget = frontend.context().requestMemory();

    @AfterEach
    void close() {
        frontend.close();
    }

    private EmbeddedChannel connectAndSend(String text) {
        EmbeddedChannel channel = new DuplexEmbeddedChannel();
        frontend.connect(channel);
        frontend.receive(channel, text);
        return channel;
    }

    private List<EmbeddedChannel> connectAndSend(int clients, String text) {
        List<EmbeddedChannel> channels = new ArrayList<>();
        for (int i = 0; i < clients; i++) {
            channels.add(connectAndSend(text));
        }
        return channels;
    }

    private int submittedRequests() {
        return frontend.policy().events().size();
    }

    /** Each client sends as many requests at once as may wait on one connection. */
    @Test
    void pipelinedRequestsOfManyClientsAreLimitedTogether() {
        List<EmbeddedChannel> clients = connectAndSend(4, POST.repeat(17));
        assertTrue(budget.pipelinedBytes() <= EmbeddedFrontend.MAX_PIPELINED_MEMORY_BYTES);
        assertEquals(4, submittedRequests());
        connectAndSend(POST);
        assertEquals(5, submittedRequests());
        clients.forEach(EmbeddedChannel::close);
        frontend.runTasks();
        assertEquals(0, budget.pipelinedBytes());
        assertEquals(BODY_BYTES, budget.totalBytes());
    }

    @Test
    void pipelinedRequestBeyondTheLimitIsRejectedAfterTheResponsesBeforeIt() {
        EmbeddedChannel client = connectAndSend(POST.repeat(17));
        int acceptedRequests = 0;
        List<String> statuses = new ArrayList<>();
        while (submittedRequests() > acceptedRequests) {
            acceptedRequests++;
            frontend.policy().actions().fail(frontend.policy().requestId());
            frontend.runTasks();
            statuses.addAll(EmbeddedFrontend.writtenStatuses(client));
        }
        assertTrue(acceptedRequests <= 1 + MAX_PIPELINED_BODIES, acceptedRequests + " requests");
        assertEquals(acceptedRequests + 1, statuses.size());
        assertEquals("503", statuses.get(acceptedRequests));
        assertTrue(statuses.subList(0, acceptedRequests).stream().allMatch("502"::equals));
        assertTrue(((DuplexEmbeddedChannel) client).isOutputShutdown());
        assertEquals(0, budget.totalBytes());
    }

    @Test
    void pipelinedRequestsWithoutBodyAreLimitedByTheirHeads() {
        String headerValue = "x".repeat(7_000);
        String get =
                EmbeddedFrontend.getRequest("r")
                        .replace("\r\n\r\n", "\r\nX-Long: " + headerValue + "\r\n\r\n");
        connectAndSend(8, get.repeat(17));
        assertTrue(budget.pipelinedBytes() > EmbeddedFrontend.MAX_PIPELINED_MEMORY_BYTES / 2);
        assertTrue(budget.pipelinedBytes() <= EmbeddedFrontend.MAX_PIPELINED_MEMORY_BYTES);
    }

    @Test
    void unfinishedBodiesOfManyClientsAreLimitedTogether() {
        List<EmbeddedChannel> clients = connectAndSend(MAX_BODIES, POST_WITHOUT_LAST_BYTE);
        EmbeddedChannel refused = connectAndSend(POST_WITHOUT_LAST_BYTE);
        assertEquals(List.of("503"), EmbeddedFrontend.writtenStatuses(refused));
        assertEquals(0, submittedRequests());
        connectAndSend(SHORT_POST);
        assertEquals(1, submittedRequests());
        clients.forEach(client -> frontend.receive(client, "x"));
        assertEquals(1 + MAX_BODIES, submittedRequests());
    }

    @Test
    void memoryOfAnsweredRequestsIsReleased() {
        EmbeddedChannel client = new DuplexEmbeddedChannel();
        frontend.connect(client);
        for (int i = 0; i < 2 * MAX_BODIES; i++) {
            frontend.receive(client, POST);
            assertEquals(BODY_BYTES, budget.totalBytes());
            frontend.rejectLastRequest();
            assertEquals(0, budget.totalBytes());
        }
        assertEquals(2 * MAX_BODIES, submittedRequests());
        assertTrue(client.isOpen());
    }

    @Test
    void memoryOfStreamedBodyIsReleasedWithItsResponse() {
        EmbeddedChannel client =
                connectAndSend(POST.replace("65536", "70000") + "x".repeat(70_000 - BODY_BYTES));
        assertEquals(BODY_BYTES, budget.totalBytes());
        frontend.rejectLastRequest();
        assertEquals(List.of("503"), EmbeddedFrontend.writtenStatuses(client));
        assertEquals(0, budget.totalBytes());
    }

    @Test
    void memoryIsReleasedWhenClientsDisconnect() {
        List<EmbeddedChannel> clients = new ArrayList<>();
        clients.addAll(connectAndSend(2, POST));
        clients.addAll(connectAndSend(2, POST + POST));
        clients.addAll(connectAndSend(2, POST_WITHOUT_LAST_BYTE));
        clients.addAll(connectAndSend(2, POST + POST_WITHOUT_LAST_BYTE));
        assertTrue(budget.totalBytes() > 0);
        clients.forEach(EmbeddedChannel::close);
        frontend.runTasks();
        assertEquals(0, budget.totalBytes());
        assertEquals(0, budget.pipelinedBytes());
    }

    @Test
    void pipelinedRequestLeavesThePipelinedShareWhenItsTurnComes() {
        RequestMemoryBudget.Reservation reservation = budget.newReservation(true);
        assertTrue(reservation.growTo(1_000));
        assertEquals(1_000, budget.pipelinedBytes());
        reservation.onTurn();
        assertEquals(0, budget.pipelinedBytes());
        assertEquals(1_000, budget.totalBytes());
        reservation.release();
        assertEquals(0, budget.totalBytes());
    }

    /** Clients may hold a third of 1,024 descriptors for requests of the maximum length. */
    @Test
    void aThirdOfTheDescriptorsFitsIntoTheSmallestHeap() {
        RequestMemoryBudget heapBudget = RequestMemoryBudget.forHeap(40_000_000);
        for (int i = 0; i < 1_024 / 3; i++) {
            assertTrue(heapBudget.newReservation(false).growTo(BODY_BYTES), i + " bodies fit");
        }
    }

    @Test
    void reservationThatDoesNotFitIsUnchanged() {
        RequestMemoryBudget.Reservation reservation = budget.newReservation(false);
        assertTrue(reservation.growTo(5_000));
        assertFalse(reservation.growTo(EmbeddedFrontend.MAX_REQUEST_MEMORY_BYTES + 1));
        assertEquals(5_000, budget.totalBytes());
    }
}
