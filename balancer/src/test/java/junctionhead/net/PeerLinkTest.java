package junctionhead.net;

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
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The datagrams between balancers. */
class PeerLinkTest {
    private static final int WAIT_MS = 5_000;

    private record Message(int from, byte[] data) {}

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final BlockingQueue<Message> heard = new LinkedBlockingQueue<>();
    private final List<String> log = new CopyOnWriteArrayList<>();
    private final Events events = new Events(log::add, System::nanoTime);
    private DatagramSocket first;
    private DatagramSocket second;

    @BeforeEach
    void open() throws IOException {
        first = peer();
        second = peer();
    }

    @AfterEach
    void close() {
        first.close();
        second.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static DatagramSocket peer() throws IOException {
        DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
        socket.setSoTimeout(WAIT_MS);
        return socket;
    }

    private PeerLink link(InetSocketAddress everyone) throws InterruptedException {
        InetSocketAddress listen = new InetSocketAddress("127.0.0.1", 0);
        PeerLink link =
                new PeerLink(
                        group.next(),
                        new Config.Peers(
                                listen,
                                List.of(
                                        (InetSocketAddress) first.getLocalSocketAddress(),
                                        (InetSocketAddress) second.getLocalSocketAddress()),
                                everyone),
                        (from, data) -> heard.add(new Message(from, data)),
                        events);
        link.start(log::add).sync();
        return link;
    }

    private static DatagramPacket receive(DatagramSocket socket) throws IOException {
        DatagramPacket packet = new DatagramPacket(new byte[512], 512);
        socket.receive(packet);
        return packet;
    }

    private void tell(PeerLink link, int peer, byte[] data) {
        group.next().execute(() -> link.tell(peer, data));
    }

    private static void send(DatagramSocket from, int bytes, SocketAddress to) throws IOException {
        from.send(new DatagramPacket(new byte[bytes], bytes, to));
    }

    @Test
    void messagesGoToOneOrAllAndComeWithTheirSendersNumber() throws Exception {
        PeerLink link = link(null);
        tell(link, -1, new byte[] {1, 2});
        SocketAddress at = receive(first).getSocketAddress();
        assertEquals(2, receive(second).getLength());
        tell(link, 1, new byte[] {3});
        assertEquals(1, receive(second).getLength());
        send(second, 256, at);
        Message message = heard.poll(WAIT_MS, TimeUnit.MILLISECONDS);
        assertEquals(1, message.from());
        assertArrayEquals(new byte[256], message.data());
    }

    @Test
    void oneAddressStandsForAllWhereThereIsOne() throws Exception {
        tell(link((InetSocketAddress) second.getLocalSocketAddress()), -1, new byte[] {7});
        assertEquals(1, receive(second).getLength());
        first.setSoTimeout(50);
        assertThrows(SocketTimeoutException.class, () -> receive(first));
    }

    @Test
    void strangersAndLongDatagramsAreCountedAndPassedOver() throws Exception {
        PeerLink link = link(null);
        tell(link, 0, new byte[] {1});
        SocketAddress at = receive(first).getSocketAddress();
        try (DatagramSocket stranger = peer()) {
            for (int i = 0; i < 20; i++) {
                send(stranger, 5, at);
            }
        }
        send(first, 257, at);
        send(first, 2, at);
        assertEquals(2, heard.poll(WAIT_MS, TimeUnit.MILLISECONDS).data().length);
        assertTrue(heard.isEmpty());
        assertTrue(events.count(Events.Kind.STRAY) >= 21);
        assertTrue(log.size() <= 10, "lines: " + log);
    }

    @Test
    void tooLongAMessageIsNotSentAndUnknownPeersAreNobody() throws Exception {
        PeerLink link = link(null);
        tell(link, -1, new byte[257]);
        tell(link, 2, new byte[] {1});
        tell(link, 0, new byte[] {1, 2, 3});
        assertEquals(3, receive(first).getLength());
    }

    @Test
    void anAddressInUseLeavesTheBalancerWithoutMessages() throws Exception {
        PeerLink link =
                new PeerLink(
                        group.next(),
                        new Config.Peers(
                                (InetSocketAddress) first.getLocalSocketAddress(),
                                List.of((InetSocketAddress) second.getLocalSocketAddress()),
                                null),
                        (from, data) -> {},
                        events);
        assertTrue(link.start(log::add).await(WAIT_MS, TimeUnit.MILLISECONDS));
        group.next()
                .submit(() -> link.tell(-1, new byte[] {1}))
                .get(WAIT_MS, TimeUnit.MILLISECONDS);
        assertTrue(log.get(0).contains("no messages between balancers"));
    }
}
