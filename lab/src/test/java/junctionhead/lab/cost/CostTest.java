package junctionhead.lab.cost;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import junctionhead.lab.figures.Repeats;
import junctionhead.lab.fleet.Launch;
import junctionhead.lab.stand.Addresses;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * What a measured process talks to does as it should, and a process that does not last is a figure.
 */
@Timeout(30)
class CostTest {
    private static final Duration SOON = Duration.ofSeconds(5);
    private final Addresses addresses = new Addresses();

    @Test
    void sizesAreRead() {
        assertEquals(new CostCase(14_000, 0, 1, 62, 0), CostCase.parse("servers=14000,rate=62"));
        assertEquals("s40.t7.b3.r0.", CostCase.parse("tenants=7,balancers=3").key());
        assertEquals("s40.t0.b3.r0.k1.", CostCase.parse("balancers=3,speakers=1").key());
        assertEquals(7, ((List<?>) CostCase.parse("tenants=7").settings().get("Realms")).size());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "40",
                "servers=",
                "servers=x",
                "servers=0",
                "balancers=0",
                "upstreams=4",
                "speakers=1",
                "rate=-1"
            })
    void noSizesAreTold(String text) {
        assertThrows(IllegalArgumentException.class, () -> CostCase.parse(text));
    }

    private static String watch(Socket socket, String needle) throws IOException {
        socket.setSoTimeout(5_000);
        InputStream in = socket.getInputStream();
        StringBuilder heard = new StringBuilder();
        byte[] some = new byte[4096];
        while (heard.indexOf(needle) < 0) {
            int count = in.read(some);
            if (count < 0) {
                throw new IOException("ended after " + heard);
            }
            heard.append(new String(some, 0, count, StandardCharsets.UTF_8));
        }
        return heard.toString();
    }

    @Test
    void aWatchHearsChangesZonesAndWholeLists() throws IOException {
        CostCase size = CostCase.parse("servers=6");
        try (CostStand stand = new CostStand(size, addresses.parties(0));
                Socket socket =
                        new Socket(stand.discovery().getAddress(), stand.discovery().getPort())) {
            assertEquals(6, ((List<?>) stand.known().get("targets")).size());
            socket.getOutputStream()
                    .write(
                            "GET /api/targets?watch=1&from=1 HTTP/1.1\r\nHost: d\r\n\r\n"
                                    .getBytes(StandardCharsets.US_ASCII));
            watch(socket, "\r\n\r\n");
            stand.change(1);
            String change = watch(socket, "\"rev\":2");
            assertTrue(change.contains("terminating"), change);
            stand.change(1);
            assertTrue(watch(socket, "\"rev\":3").contains("in_service"));
            stand.drain(3, true);
            watch(socket, "\"rev\":4");
            stand.whole();
            watch(socket, "\"rev\":5");
        }
    }

    @Test
    void aClientTimesEachRequestFromWhenItWasDue() throws IOException {
        CostCase size = CostCase.parse("rate=200");
        try (CostStand stand = new CostStand(size, addresses.parties(0));
                CostLoad load = new CostLoad(stand.upstream(), size.rate(), i -> "t" + i)) {
            Histogram all = new Histogram(3);
            await().atMost(SOON)
                    .until(
                            () -> {
                                all.add(load.take());
                                return all.getTotalCount() >= 20;
                            });
            assertTrue(all.getMinValue() > 0);
            assertEquals(0, load.failed());
        }
    }

    @Test
    void peersSpeakOnceASecondAndCountWhatTheyHear() throws IOException {
        try (DatagramChannel own =
                        DatagramChannel.open().bind(new InetSocketAddress(addresses.peers(0), 0));
                CostPeers peers =
                        new CostPeers(300, 30, (InetSocketAddress) own.getLocalAddress())) {
            assertEquals(300, peers.addresses().stream().distinct().count());
            ByteBuffer into = ByteBuffer.allocate(100);
            List<Integer> from = new ArrayList<>();
            List<InetSocketAddress> known = peers.addresses();
            while (from.stream().distinct().count() < 10) {
                InetSocketAddress sender = (InetSocketAddress) own.receive(into.clear());
                assertEquals(12, into.position());
                from.add(known.indexOf(sender));
            }
            assertTrue(from.stream().allMatch(f -> f >= 0 && f < 15 || f >= 285), from.toString());
            own.send(ByteBuffer.wrap(new byte[7]), peers.addresses().get(299));
            await().atMost(SOON).until(() -> peers.datagrams() == 1 && peers.bytes() == 7);
        }
    }

    @Test
    void aProcessThatDoesNotLastIsAFigure(@TempDir Path out)
            throws IOException, InterruptedException {
        Repeats figures = new Repeats();
        List<String> said = new ArrayList<>();
        Launch launch = new Launch(List.of("/bin/sh", "-c", "echo no room >&2; exit 3"));
        new Cost(launch, out, 100, Map.of(), figures, said::add)
                .measure(CostCase.parse("servers=3"), 1);
        assertEquals(1.0, figures.figures().get("s3.t0.b1.r0.ended"));
        assertEquals(List.of("s3.t0.b1.r0. did not last: no room"), said);
    }
}
