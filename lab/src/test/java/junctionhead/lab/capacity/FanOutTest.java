package junctionhead.lab.capacity;

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

/** Datagrams on loopback: to one, to all, from whom they seem to come, and what is between. */
class FanOutTest {
    private static final int COMES_MS = 10_000;
    private static final int NOTHING_MS = 200;

    private final FanOut paths = new FanOut(3, 1);
    private final DatagramSocket[] homes = new DatagramSocket[3];

    @BeforeEach
    void open() throws IOException {
        for (int b = 0; b < homes.length; b++) {
            homes[b] = new DatagramSocket(0, InetAddress.getLoopbackAddress());
            paths.home(b, (InetSocketAddress) homes[b].getLocalSocketAddress());
        }
    }

    @AfterEach
    void close() {
        Arrays.stream(homes).forEach(DatagramSocket::close);
        paths.close();
    }

    private void send(int from, InetSocketAddress to, int... bytes) throws IOException {
        byte[] data = new byte[bytes.length];
        for (int i = 0; i < bytes.length; i++) {
            data[i] = (byte) bytes[i];
        }
        homes[from].send(new DatagramPacket(data, data.length, to));
    }

    private void comes(int to, int from, int... bytes) throws IOException {
        DatagramPacket packet = new DatagramPacket(new byte[300], 300);
        homes[to].setSoTimeout(COMES_MS);
        homes[to].receive(packet);
        assertEquals(paths.face(from), packet.getSocketAddress());
        int[] got = new int[packet.getLength()];
        Arrays.setAll(got, i -> packet.getData()[i]);
        assertArrayEquals(bytes, got);
    }

    private void nothing(int to) throws IOException {
        homes[to].setSoTimeout(NOTHING_MS);
        assertThrows(
                SocketTimeoutException.class,
                () -> homes[to].receive(new DatagramPacket(new byte[300], 300)));
    }

    @Test
    void oneIsReachedAtItsFaceFromTheSendersFace() throws IOException {
        send(0, paths.face(2), 3, 7);
        comes(2, 0, 3, 7);
        nothing(1);
        assertEquals(1, paths.ledger(0).sent(Kind.WORD));
        assertEquals(2, paths.ledger(2).receivedBytes(Kind.WORD));
    }

    @Test
    void allOthersAreReachedByOneDatagram() throws IOException {
        send(1, paths.everyone(), 3, 8, 9);
        comes(0, 1, 3, 8, 9);
        comes(2, 1, 3, 8, 9);
        nothing(1);
        assertEquals(2, paths.ledger(1).sent(Kind.WORD));
        assertEquals(6, paths.ledger(1).sentBytes(Kind.WORD));
    }

    @Test
    void whatIsCutOrLostDoesNotCome() throws IOException {
        paths.cut(b -> b < 2);
        send(0, paths.everyone(), 3);
        comes(1, 0, 3);
        nothing(2);
        paths.cut(b -> true);
        paths.loss(1);
        send(0, paths.everyone(), 4);
        nothing(1);
        paths.loss(0);
        send(0, paths.face(2), 5);
        comes(2, 0, 5);
    }
}
