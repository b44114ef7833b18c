package loadbalancer.testbed.footprint;

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
import loadbalancer.testbed.docfigures.RepeatedMeasurements;
import loadbalancer.testbed.emulation.LoopbackAddresses;
import loadbalancer.testbed.process.LaunchCommand;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the emulated backend, peers and clients of a measured process, and that the early end of a
 * process is recorded.
 */
@Timeout(30)
class FootprintBenchmarkTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private final LoopbackAddresses addresses = new LoopbackAddresses();

    @Test
    void casesAreParsed() {
        assertEquals(
                new FootprintCase(14_000, 0, 1, 62, 0),
                FootprintCase.parse("servers=14000,rate=62"));
        assertEquals("s40.t7.b3.r0.", FootprintCase.parse("tenants=7,balancers=3").keyPrefix());
        assertEquals("s40.t0.b3.r0.k1.", FootprintCase.parse("balancers=3,speakers=1").keyPrefix());
        assertEquals(
                7, ((List<?>) FootprintCase.parse("tenants=7").settings().get("Realms")).size());
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
    void invalidCaseIsRejected(String text) {
        assertThrows(InvalidSizeException.class, () -> FootprintCase.parse(text));
    }

    private static String readUntil(Socket socket, String expected) throws IOException {
        socket.setSoTimeout(5_000);
        InputStream input = socket.getInputStream();
        StringBuilder received = new StringBuilder();
        byte[] buffer = new byte[4096];
        while (received.indexOf(expected) < 0) {
            int count = input.read(buffer);
            if (count < 0) {
                throw new IOException("ended after " + received);
            }
            received.append(new String(buffer, 0, count, StandardCharsets.UTF_8));
        }
        return received.toString();
    }

    @Test
    void watchDeliversChangesAndCompleteLists() throws IOException {
        FootprintCase footprintCase = FootprintCase.parse("servers=6");
        try (EmulatedBackend backend =
                        new EmulatedBackend(footprintCase, addresses.backendAddress(0));
                Socket socket =
                        new Socket(
                                backend.discoveryAddress().getAddress(),
                                backend.discoveryAddress().getPort())) {
            assertEquals(6, ((List<?>) backend.endpointList().get("targets")).size());
            socket.getOutputStream()
                    .write(
                            "GET /api/targets?watch=1&from=1 HTTP/1.1\r\nHost: d\r\n\r\n"
                                    .getBytes(StandardCharsets.US_ASCII));
            readUntil(socket, "\r\n\r\n");
            backend.publishChanges(1);
            String change = readUntil(socket, "\"rev\":2");
            assertTrue(change.contains("terminating"), change);
            backend.publishChanges(1);
            assertTrue(readUntil(socket, "\"rev\":3").contains("in_service"));
            backend.setDraining(3, true);
            readUntil(socket, "\"rev\":4");
            backend.publishCompleteList();
            readUntil(socket, "\"rev\":5");
        }
    }

    @Test
    void latencyIsMeasuredFromDueTime() throws IOException {
        FootprintCase footprintCase = FootprintCase.parse("rate=200");
        try (EmulatedBackend backend =
                        new EmulatedBackend(footprintCase, addresses.backendAddress(0));
                PacedLoadGenerator load =
                        new PacedLoadGenerator(
                                backend.upstreamAddress(),
                                footprintCase.requestsPerSecond(),
                                i -> "t" + i)) {
            Histogram histogram = new Histogram(3);
            await().atMost(TIMEOUT)
                    .until(
                            () -> {
                                histogram.add(load.takeLatencies());
                                return histogram.getTotalCount() >= 20;
                            });
            assertTrue(histogram.getMinValue() > 0);
            assertEquals(0, load.failedRequests());
        }
    }

    @Test
    void peersSendOncePerSecondAndCount() throws IOException {
        try (DatagramChannel channel =
                        DatagramChannel.open()
                                .bind(new InetSocketAddress(addresses.peerAddress(0), 0));
                EmulatedPeers peers =
                        new EmulatedPeers(300, 30, (InetSocketAddress) channel.getLocalAddress())) {
            assertEquals(300, peers.addresses().stream().distinct().count());
            ByteBuffer buffer = ByteBuffer.allocate(100);
            List<Integer> senderIndexes = new ArrayList<>();
            List<InetSocketAddress> peerAddresses = peers.addresses();
            while (senderIndexes.stream().distinct().count() < 10) {
                InetSocketAddress sender = (InetSocketAddress) channel.receive(buffer.clear());
                assertEquals(12, buffer.position());
                senderIndexes.add(peerAddresses.indexOf(sender));
            }
            assertTrue(
                    senderIndexes.stream()
                            .allMatch(index -> (index >= 0 && index < 15) || index >= 285),
                    senderIndexes.toString());
            channel.send(ByteBuffer.wrap(new byte[7]), peers.addresses().get(299));
            await().atMost(TIMEOUT)
                    .until(() -> peers.receivedDatagrams() == 1 && peers.receivedBytes() == 7);
        }
    }

    @Test
    void prematureExitIsRecorded(@TempDir Path outputDirectory)
            throws IOException, InterruptedException {
        RepeatedMeasurements measurements = new RepeatedMeasurements();
        List<String> messages = new ArrayList<>();
        LaunchCommand launchCommand =
                new LaunchCommand(List.of("/bin/sh", "-c", "echo no room >&2; exit 3"));
        new FootprintBenchmark(
                        launchCommand, outputDirectory, 100, Map.of(), measurements, messages::add)
                .measure(FootprintCase.parse("servers=3"), 1);
        assertEquals(1.0, measurements.summary().get("s3.t0.b1.r0.ended"));
        assertEquals(List.of("s3.t0.b1.r0. did not last: no room"), messages);
    }
}
