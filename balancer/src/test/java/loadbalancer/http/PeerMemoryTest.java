package loadbalancer.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import loadbalancer.proxy.MemoryReservation;
import loadbalancer.proxy.PeerMemory;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Tests that many clients together can't buffer more of their requests than the limit, which used
 * to exhaust the heap and end the process, and that other clients are served meanwhile.
 */
class PeerMemoryTest {
    private static final int BODY_BYTES = RequestReader.MAX_BUFFERED_BODY_BYTES;
    // Of a request with the longest buffered body, its head included.
    private static final int REQUEST_BYTES =
            BODY_BYTES
                    + BufferedRequest.headBytes(
                            new DefaultHttpRequest(
                                    HttpVersion.HTTP_1_1,
                                    HttpMethod.POST,
                                    "/k1",
                                    new DefaultHttpHeaders()
                                            .add("Req-Id", "r1")
                                            .add("Req-Kind", "book")
                                            .add("Req-Deadline-Ms", "20000")
                                            .add("Content-Length", BODY_BYTES)));
    // The initial capacity in Netty's decoder.
    private static final int LINE_BUFFER_BYTES = 128;
    private static final int MAX_BODIES = EmbeddedFrontend.MAX_MEMORY_BYTES / REQUEST_BYTES;
    // Longer than the time after which a client counts as stalled.
    private static final long STALL_TIMEOUT_MS = 320;
    private static final int MAX_PIPELINED_BODIES =
            EmbeddedFrontend.MAX_PIPELINED_MEMORY_BYTES / REQUEST_BYTES;
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
    private final List<EmbeddedChannel> connected = new ArrayList<>();
    private int nextId;
    private final PeerMemory memory = frontend.context().memory();

    @AfterEach
    void close() {
        frontend.close();
    }

    private EmbeddedChannel connectAndSend(String text) {
        EmbeddedChannel channel = new DuplexEmbeddedChannel();
        frontend.connect(channel);
        connected.add(channel);
        frontend.receive(channel, withNewIds(text));
        return channel;
    }

    // Gives each request an id of its own, of the same length.
    private String withNewIds(String text) {
        return Pattern.compile("Req-Id: r1")
                .matcher(text)
                .replaceAll(match -> String.format("Req-Id: %02x", nextId++));
    }

    private List<EmbeddedChannel> connectAndSend(int clients, String text) {
        List<EmbeddedChannel> channels = new ArrayList<>();
        for (int i = 0; i < clients; i++) {
            channels.add(connectAndSend(text));
        }
        return channels;
    }

    // Without the buffer that the decoder of each open connection keeps for the lines of heads.
    private long requestBytes() {
        long openConnections = connected.stream().filter(EmbeddedChannel::isOpen).count();
        return memory.total().usedBytes() - openConnections * LINE_BUFFER_BYTES;
    }

    private int submittedRequests() {
        return frontend.policy().events().size();
    }

    /** Each client sends as many requests at once as may wait on one connection. */
    @Test
    void pipelinedRequestsOfManyClientsAreLimitedTogether() {
        List<EmbeddedChannel> clients = connectAndSend(4, POST.repeat(17));
        assertTrue(memory.pipelined().usedBytes() <= EmbeddedFrontend.MAX_PIPELINED_MEMORY_BYTES);
        assertEquals(4, submittedRequests());
        connectAndSend(POST);
        assertEquals(5, submittedRequests());
        clients.forEach(EmbeddedChannel::close);
        frontend.runTasks();
        assertEquals(0, memory.pipelined().usedBytes());
        assertEquals(REQUEST_BYTES, requestBytes());
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
        assertEquals(0, memory.total().usedBytes());
    }

    @Test
    void pipelinedRequestsWithoutBodyAreLimitedByTheirHeads() {
        String headerValue = "x".repeat(7_000);
        String get =
                EmbeddedFrontend.getRequest("r")
                        .replace("\r\n\r\n", "\r\nX-Long: " + headerValue + "\r\n\r\n");
        connectAndSend(8, get.repeat(17));
        assertTrue(
                memory.pipelined().usedBytes() > EmbeddedFrontend.MAX_PIPELINED_MEMORY_BYTES / 2);
        assertTrue(memory.pipelined().usedBytes() <= EmbeddedFrontend.MAX_PIPELINED_MEMORY_BYTES);
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
        EmbeddedChannel client = connectAndSend("");
        for (int i = 0; i < 2 * MAX_BODIES; i++) {
            frontend.receive(client, withNewIds(POST));
            assertEquals(REQUEST_BYTES, requestBytes());
            frontend.rejectLastRequest();
            assertEquals(0, requestBytes());
        }
        assertEquals(2 * MAX_BODIES, submittedRequests());
        assertTrue(client.isOpen());
    }

    @Test
    void memoryOfStreamedBodyIsReleasedWithItsResponse() {
        EmbeddedChannel client =
                connectAndSend(POST.replace("65536", "70000") + "x".repeat(70_000 - BODY_BYTES));
        assertTrue(memory.streamed().usedBytes() >= 70_000, "streamed bytes");
        assertEquals(REQUEST_BYTES - BODY_BYTES + memory.streamed().usedBytes(), requestBytes());
        frontend.rejectLastRequest();
        assertEquals(List.of("503"), EmbeddedFrontend.writtenStatuses(client));
        assertEquals(0, requestBytes());
    }

    @Test
    void memoryIsReleasedWhenClientsDisconnect() {
        List<EmbeddedChannel> clients = new ArrayList<>();
        clients.addAll(connectAndSend(2, POST));
        clients.addAll(connectAndSend(2, POST + POST));
        clients.addAll(connectAndSend(2, POST_WITHOUT_LAST_BYTE));
        clients.addAll(connectAndSend(2, POST + POST_WITHOUT_LAST_BYTE));
        assertTrue(requestBytes() > 0);
        clients.forEach(EmbeddedChannel::close);
        frontend.runTasks();
        assertEquals(0, requestBytes());
        assertEquals(0, memory.pipelined().usedBytes());
    }

    @Test
    void pipelinedRequestLeavesThePipelinedShareWhenItsTurnComes() {
        MemoryReservation reservation = new MemoryReservation(memory, true);
        assertTrue(reservation.growTo(1_000));
        assertEquals(1_000, memory.pipelined().usedBytes());
        reservation.onTurn();
        assertEquals(0, memory.pipelined().usedBytes());
        assertEquals(1_000, requestBytes());
        reservation.release();
        assertEquals(0, requestBytes());
    }

    /** Clients may hold a third of 1,024 descriptors for requests of the maximum length. */
    @Test
    void aThirdOfTheDescriptorsFitsIntoTheSmallestHeap() {
        PeerMemory heapMemory = PeerMemory.forHeap(40_000_000);
        for (int i = 0; i < 1_024 / 3; i++) {
            assertTrue(
                    new MemoryReservation(heapMemory, false).growTo(REQUEST_BYTES),
                    i + " requests fit");
        }
    }

    @Test
    void reservationThatDoesNotFitIsUnchanged() {
        MemoryReservation reservation = new MemoryReservation(memory, false);
        assertTrue(reservation.growTo(5_000));
        assertFalse(reservation.growTo(EmbeddedFrontend.MAX_MEMORY_BYTES + 1));
        assertEquals(5_000, requestBytes());
    }

    /** A field of four bytes takes some 160 in the heap. */
    @Test
    void unfinishedHeadsOfManyShortFieldsAreLimitedTogether() {
        String unfinishedHead = "POST /k1 HTTP/1.1\r\n" + "a:\r\n".repeat(1_900);
        int refused = 0;
        for (int i = 0; i < 20; i++) {
            EmbeddedChannel client = connectAndSend(unfinishedHead);
            refused += EmbeddedFrontend.writtenStatuses(client).size();
            assertTrue(memory.total().usedBytes() <= EmbeddedFrontend.MAX_MEMORY_BYTES);
        }
        assertEquals(20 - EmbeddedFrontend.MAX_MEMORY_BYTES / (1_900 * 164), refused);
        connectAndSend(SHORT_POST);
        assertEquals(1, submittedRequests());
    }

    /** What the decoder holds of a refused head is freed although its client stays connected. */
    @Test
    void memoryOfARefusedOrDroppedHeadIsReleasedAtOnce() {
        EmbeddedChannel client = new DuplexEmbeddedChannel();
        ClientConnection connection = frontend.connect(client);
        frontend.receive(client, "POST /k1 HTTP/1.1\r\n" + "a:\r\n".repeat(1_900));
        assertTrue(memory.total().usedBytes() > 1_900 * 160);
        connection.drop("test");
        frontend.runTasks();
        assertEquals(0, memory.total().usedBytes());
        assertTrue(client.isOpen());
    }

    @Test
    void stalledHoldersAreDroppedBeforeAnotherClientIsRefused() throws InterruptedException {
        List<EmbeddedChannel> stalled = connectAndSend(MAX_BODIES, POST_WITHOUT_LAST_BYTE);
        TimeUnit.MILLISECONDS.sleep(STALL_TIMEOUT_MS);
        connectAndSend(POST);
        assertEquals(1, submittedRequests());
        assertEquals(List.of("408"), EmbeddedFrontend.writtenStatuses(stalled.get(0)));
    }
}
