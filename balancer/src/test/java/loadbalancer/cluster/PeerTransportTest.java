package loadbalancer.cluster;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import loadbalancer.admin.EventLog;
import loadbalancer.config.PeerAddresses;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests {@link PeerTransport}: which datagrams are sent, received and dropped. */
class PeerTransportTest {
    private static final int TIMEOUT_MS = 5_000;
    // Time to wait for a datagram that must not arrive.
    private static final int QUIET_MS = 50;
    private static final int MAX_DATAGRAM_BYTES = 256;
    private static final int ALL_PEERS = -1;
    private static final int UNKNOWN_SENDER_DATAGRAMS = 20;
    private static final int MAX_LOG_LINES = 10;

    private record ReceivedDatagram(int fromPeer, byte[] payload) {}

    private final NioEventLoopGroup eventLoopGroup = new NioEventLoopGroup(1);
    private final BlockingQueue<ReceivedDatagram> receivedDatagrams = new LinkedBlockingQueue<>();
    private final List<String> logLines = new CopyOnWriteArrayList<>();
    private final EventLog events = new EventLog(logLines::add, System::nanoTime);
    private DatagramSocket firstPeer;
    private DatagramSocket secondPeer;

    @BeforeEach
    void open() throws IOException {
        firstPeer = openPeer();
        secondPeer = openPeer();
    }

    @AfterEach
    void close() {
        firstPeer.close();
        secondPeer.close();
        eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static DatagramSocket openPeer() throws IOException {
        DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
        socket.setSoTimeout(TIMEOUT_MS);
        return socket;
    }

    private PeerTransport startTransport(Optional<InetSocketAddress> broadcastAddress)
            throws InterruptedException {
        InetSocketAddress listenAddress = new InetSocketAddress("127.0.0.1", 0);
        PeerTransport transport =
                new PeerTransport(
                        eventLoopGroup.next(),
                        new PeerAddresses(
                                Optional.of(listenAddress),
                                List.of(
                                        (InetSocketAddress) firstPeer.getLocalSocketAddress(),
                                        (InetSocketAddress) secondPeer.getLocalSocketAddress()),
                                broadcastAddress),
                        (from, data) -> receivedDatagrams.add(new ReceivedDatagram(from, data)),
                        events);
        transport.start(logLines::add).sync();
        return transport;
    }

    private static DatagramPacket receive(DatagramSocket socket) throws IOException {
        DatagramPacket packet = new DatagramPacket(new byte[512], 512);
        socket.receive(packet);
        return packet;
    }

    private void sendOnLoop(PeerTransport transport, int peer, byte[] payload) {
        eventLoopGroup.next().execute(() -> transport.send(peer, payload));
    }

    private static void send(DatagramSocket sender, int length, SocketAddress receiver)
            throws IOException {
        sender.send(new DatagramPacket(new byte[length], length, receiver));
    }

    @Test
    void messagesReachOneOrAllPeers() throws Exception {
        PeerTransport transport = startTransport(Optional.empty());
        sendOnLoop(transport, ALL_PEERS, new byte[] {1, 2});
        SocketAddress transportAddress = receive(firstPeer).getSocketAddress();
        assertEquals(2, receive(secondPeer).getLength());
        sendOnLoop(transport, 1, new byte[] {3});
        assertEquals(1, receive(secondPeer).getLength());
        send(secondPeer, MAX_DATAGRAM_BYTES, transportAddress);
        ReceivedDatagram message = receivedDatagrams.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        assertEquals(1, message.fromPeer());
        assertArrayEquals(new byte[MAX_DATAGRAM_BYTES], message.payload());
    }

    /** A message to all peers is sent once to the broadcast address and not to each peer. */
    @Test
    void messageToAllIsSentToBroadcastAddress() throws Exception {
        sendOnLoop(
                startTransport(Optional.of((InetSocketAddress) secondPeer.getLocalSocketAddress())),
                ALL_PEERS,
                new byte[] {7});
        assertEquals(1, receive(secondPeer).getLength());
        firstPeer.setSoTimeout(QUIET_MS);
        assertThrows(SocketTimeoutException.class, () -> receive(firstPeer));
    }

    @Test
    void datagramsThatAreLongOrFromUnknownSendersAreCounted() throws Exception {
        PeerTransport transport = startTransport(Optional.empty());
        sendOnLoop(transport, 0, new byte[] {1});
        SocketAddress transportAddress = receive(firstPeer).getSocketAddress();
        try (DatagramSocket unknownSender = openPeer()) {
            for (int i = 0; i < UNKNOWN_SENDER_DATAGRAMS; i++) {
                send(unknownSender, 5, transportAddress);
            }
        }
        send(firstPeer, MAX_DATAGRAM_BYTES + 1, transportAddress);
        send(firstPeer, 2, transportAddress);
        assertEquals(2, receivedDatagrams.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS).payload().length);
        assertTrue(receivedDatagrams.isEmpty(), receivedDatagrams.toString());
        long strayCount = events.count(EventLog.Kind.STRAY);
        assertTrue(
                strayCount >= UNKNOWN_SENDER_DATAGRAMS + 1,
                strayCount + " stray datagrams counted");
        assertTrue(logLines.size() <= MAX_LOG_LINES, "lines: " + logLines);
    }

    @Test
    void oversizedMessagesAndUnknownPeersAreDropped() throws Exception {
        PeerTransport transport = startTransport(Optional.empty());
        sendOnLoop(transport, ALL_PEERS, new byte[MAX_DATAGRAM_BYTES + 1]);
        sendOnLoop(transport, 2, new byte[] {1});
        sendOnLoop(transport, 0, new byte[] {1, 2, 3});
        assertEquals(3, receive(firstPeer).getLength());
    }

    /** If the address is in use, the start still completes and sending does nothing. */
    @Test
    void addressInUseDisablesMessages() throws Exception {
        PeerTransport transport =
                new PeerTransport(
                        eventLoopGroup.next(),
                        new PeerAddresses(
                                Optional.of((InetSocketAddress) firstPeer.getLocalSocketAddress()),
                                List.of((InetSocketAddress) secondPeer.getLocalSocketAddress()),
                                Optional.empty()),
                        (from, data) -> {},
                        events);
        assertTrue(
                transport.start(logLines::add).await(TIMEOUT_MS, TimeUnit.MILLISECONDS),
                "the start has not completed");
        eventLoopGroup
                .next()
                .submit(() -> transport.send(ALL_PEERS, new byte[] {1}))
                .get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        assertTrue(
                logLines.get(0).contains("peer socket bind failed: address="), logLines.toString());
    }
}
