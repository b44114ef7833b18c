package loadbalancer.testbed.capacity;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.Arrays;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests unicast, broadcast, sender addresses, loss and partitions on loopback. */
class DatagramRelayTest {
    private static final int ARRIVAL_TIMEOUT_MS = 10_000;
    private static final int SILENCE_MS = 200;

    private final DatagramRelay relay = new DatagramRelay(3, 1);
    private final DatagramSocket[] sockets = new DatagramSocket[3];

    @BeforeEach
    void open() throws IOException {
        for (int balancer = 0; balancer < sockets.length; balancer++) {
            sockets[balancer] = new DatagramSocket(0, InetAddress.getLoopbackAddress());
            relay.register(balancer, (InetSocketAddress) sockets[balancer].getLocalSocketAddress());
        }
    }

    @AfterEach
    void close() {
        Arrays.stream(sockets).forEach(DatagramSocket::close);
        relay.close();
    }

    private void send(int sender, InetSocketAddress destination, int... bytes) throws IOException {
        byte[] payload = new byte[bytes.length];
        for (int i = 0; i < bytes.length; i++) {
            payload[i] = (byte) bytes[i];
        }
        sockets[sender].send(new DatagramPacket(payload, payload.length, destination));
    }

    private void expectDatagram(int receiver, int sender, int... expected) throws IOException {
        DatagramPacket packet = new DatagramPacket(new byte[300], 300);
        sockets[receiver].setSoTimeout(ARRIVAL_TIMEOUT_MS);
        sockets[receiver].receive(packet);
        assertEquals(relay.relayAddress(sender), packet.getSocketAddress());
        int[] received = new int[packet.getLength()];
        Arrays.setAll(received, i -> packet.getData()[i]);
        assertArrayEquals(expected, received);
    }

    private void expectNothing(int receiver) throws IOException {
        sockets[receiver].setSoTimeout(SILENCE_MS);
        assertThrows(
                SocketTimeoutException.class,
                () -> sockets[receiver].receive(new DatagramPacket(new byte[300], 300)));
    }

    @Test
    void unicastCarriesSenderAddress() throws IOException {
        send(0, relay.relayAddress(2), 3, 7);
        expectDatagram(2, 0, 3, 7);
        expectNothing(1);
        assertEquals(1, relay.counters(0).sentDatagrams(CostCategory.GOSSIP));
        assertEquals(2, relay.counters(2).receivedBytes(CostCategory.GOSSIP));
    }

    @Test
    void broadcastReachesAllOthers() throws IOException {
        send(1, relay.broadcastAddress(), 3, 8, 9);
        expectDatagram(0, 1, 3, 8, 9);
        expectDatagram(2, 1, 3, 8, 9);
        expectNothing(1);
        assertEquals(2, relay.counters(1).sentDatagrams(CostCategory.GOSSIP));
        assertEquals(6, relay.counters(1).sentBytes(CostCategory.GOSSIP));
    }

    @Test
    void blockedOrLostDatagramsDoNotArrive() throws IOException {
        relay.partition(balancer -> balancer < 2);
        send(0, relay.broadcastAddress(), 3);
        expectDatagram(1, 0, 3);
        expectNothing(2);
        relay.partition(balancer -> true);
        relay.setLossRate(1);
        send(0, relay.broadcastAddress(), 4);
        expectNothing(1);
        relay.setLossRate(0);
        send(0, relay.relayAddress(2), 5);
        expectDatagram(2, 0, 5);
    }
}
