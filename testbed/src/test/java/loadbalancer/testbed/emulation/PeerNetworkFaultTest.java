package loadbalancer.testbed.emulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Verifies that each kind of fault between balancers takes effect on the datagrams of the paths
 * that it names, and on no others.
 */
@Timeout(60)
class PeerNetworkFaultTest extends FaultInjectorTestSupport {
    private DatagramSocket openPeerSocket(int balancer) throws IOException {
        DatagramSocket socket =
                new DatagramSocket(environment.peerNetwork().balancerAddress(balancer));
        openSockets.add(socket);
        socket.setSoTimeout(WITHHELD_TIMEOUT_MS);
        return socket;
    }

    private void send(DatagramSocket sender, int balancer, int receiver, String text)
            throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
        String[] addressParts =
                environment.peerNetwork().peerAddresses(balancer).get(receiver).split(":");
        sender.send(
                new DatagramPacket(
                        bytes,
                        bytes.length,
                        new InetSocketAddress(addressParts[0], Integer.parseInt(addressParts[1]))));
    }

    /** Returns the datagrams that arrive until none arrives within the socket's timeout. */
    private static List<String> receiveAll(DatagramSocket socket) throws IOException {
        List<String> datagrams = new ArrayList<>();
        try {
            while (true) {
                DatagramPacket packet = new DatagramPacket(new byte[300], 300);
                socket.receive(packet);
                datagrams.add(
                        new String(
                                packet.getData(),
                                0,
                                packet.getLength(),
                                StandardCharsets.US_ASCII));
            }
        } catch (SocketTimeoutException e) {
            return datagrams;
        }
    }

    private List<List<String>> exchangeDatagrams() throws IOException {
        DatagramSocket[] balancerSockets = {
            openPeerSocket(0), openPeerSocket(1), openPeerSocket(2)
        };
        for (int i = 0; i < 3; i++) {
            for (int j = 0; j < 3; j++) {
                if (i != j) {
                    send(balancerSockets[i], i, j, i + "to" + j);
                }
            }
        }
        List<List<String>> receivedByBalancer = new ArrayList<>();
        for (DatagramSocket balancerSocket : balancerSockets) {
            receivedByBalancer.add(receiveAll(balancerSocket).stream().sorted().toList());
        }
        return receivedByBalancer;
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '\'',
            value = {
                "on = `balancers:0`; to = `balancers:1`; one_way = true | 1to0 2to0 | 2to1 | 0to2 1to2",
                "on = `balancers:0`; to = `balancers:1` | 2to0 | 2to1 | 0to2 1to2",
                "on = `balancers:0`; to = `balancers`; one_way = true | 1to0 2to0 | 2to1 | 1to2",
                "on = `zone:c`; to = `zone:a` | 1to0 | 0to1 2to1 | 1to2",
            })
    void partitionBetweenBalancersDropsDatagrams(
            String paths, String expectedAtFirst, String expectedAtSecond, String expectedAtThird)
            throws IOException {
        startEnvironment("kind = `cut`; " + paths);
        setFault(true);
        assertEquals(
                List.of(expectedAtFirst, expectedAtSecond, expectedAtThird),
                exchangeDatagrams().stream()
                        .map(datagrams -> String.join(" ", datagrams))
                        .toList());
    }

    @Test
    void duplicatedDatagramsArriveTwice() throws IOException {
        startEnvironment(
                "kind = `repeat`; amount = 1.0; delay_ms = 20; on = `balancers:0`; to = `balancers:1`; "
                        + "one_way = true");
        setFault(true);
        assertEquals(List.of("0to1", "0to1", "2to1"), exchangeDatagrams().get(1));
    }

    @Test
    void lostDatagramsDoNotArrive() throws IOException {
        startEnvironment("kind = `loss`; amount = 1.0; on = `balancers:0`; to = `balancers:1`");
        setFault(true);
        assertEquals(List.of("2to1"), exchangeDatagrams().get(1));
    }

    @Test
    void reorderingLosesNothing() throws IOException {
        startEnvironment(
                "kind = `reorder`; amount = 0.5; delay_ms = 30; on = `balancers:0`; to = `balancers:1`");
        setFault(true);
        DatagramSocket sender = openPeerSocket(0);
        DatagramSocket receiver = openPeerSocket(1);
        List<String> sent = new ArrayList<>();
        for (int i = 10; i < 50; i++) {
            sent.add("m" + i);
            send(sender, 0, 1, "m" + i);
        }
        List<String> received = receiveAll(receiver);
        assertFalse(received.equals(sent), "the datagrams arrived in order");
        assertEquals(sent, received.stream().sorted().toList());
    }

    @Test
    void broadcastReachesAllOthers() throws IOException {
        startEnvironment("kind = `cut`; on = `balancers:0`; to = `balancers:1`");
        DatagramSocket[] balancerSockets = {
            openPeerSocket(0), openPeerSocket(1), openPeerSocket(2)
        };
        String[] addressParts = environment.peerNetwork().broadcastAddress(0).split(":");
        balancerSockets[0].send(
                new DatagramPacket(
                        new byte[] {'x'},
                        1,
                        new InetSocketAddress(addressParts[0], Integer.parseInt(addressParts[1]))));
        assertEquals(List.of("x"), receiveAll(balancerSockets[1]));
        assertEquals(List.of("x"), receiveAll(balancerSockets[2]));
        assertEquals(List.of(), receiveAll(balancerSockets[0]));
    }
}
