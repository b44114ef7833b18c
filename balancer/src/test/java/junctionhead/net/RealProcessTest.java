package junctionhead.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import junctionhead.net.NodeTest.Client;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Balancers as processes of their own, where the system's limits and a real start are what counts.
 */
@Timeout(120)
class RealProcessTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String READY = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";
    private static final int LIMIT = 256;

    private final List<Process> processes = Collections.synchronizedList(new ArrayList<>());
    private FakeUpstream upstream;
    private FakeUpstream agent;

    @BeforeEach
    void open() throws IOException {
        upstream = new FakeUpstream();
        agent = new FakeUpstream();
    }

    @AfterEach
    void close() throws IOException {
        processes.forEach(Process::destroyForcibly);
        upstream.close();
        agent.close();
    }

    private String list(int rev, String id, String address) {
        return "{\"rev\":"
                + rev
                + ",\"all\":true,\"targets\":[{\"uid\":\""
                + id
                + "\",\"endpoint\":\""
                + address
                + "\",\"state\":\"in_service\",\"boot_ms\":0}]}";
    }

    private record Started(Process process, InetSocketAddress at) {}

    /** Starts one under a limit on descriptors; it listens once this returns. */
    private Started serve(Map<String, Object> more) throws IOException {
        Map<String, Object> settings = NodeTest.settings();
        settings.put("MembershipMode", "push");
        settings.put("Balancers", 2);
        settings.put(
                "Limits",
                Map.of(
                        "TryLimit",
                        3,
                        "MayDuplicate",
                        true,
                        "Cancel",
                        true,
                        "Probes",
                        true,
                        "DialTimeout",
                        500_000,
                        "IdleClose",
                        30_000_000,
                        "PeerMessages",
                        true));
        Map<String, Object> config =
                new HashMap<>(
                        Map.of(
                                "name",
                                "n1",
                                "listen",
                                "127.0.0.1:0",
                                "discovery",
                                agent.address(),
                                "seed",
                                "1",
                                "settings",
                                settings,
                                "known",
                                JSON.std.mapFrom(list(1, "s1", upstream.address()))));
        config.putAll(more);
        Path file = Files.createTempFile("junctionhead", ".json");
        Files.writeString(file, JSON.std.asString(config));
        ProcessBuilder builder =
                new ProcessBuilder(
                        "/bin/sh",
                        "-c",
                        "ulimit -n " + LIMIT + "; exec \"$@\"",
                        "sh",
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx32m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "junctionhead.Main",
                        "serve");
        builder.environment().keySet().removeIf(name -> name.startsWith("ROUTER_"));
        builder.environment().put("ROUTER_CONFIG", file.toString());
        Process process = builder.start();
        processes.add(process);
        BufferedReader err = process.errorReader(StandardCharsets.UTF_8);
        String line = err.readLine();
        while (line != null && !line.contains("listening on ")) {
            line = err.readLine();
        }
        assertTrue(line != null, "it has ended");
        Files.delete(file);
        Thread reader = new Thread(() -> err.lines().forEach(l -> {}));
        reader.setDaemon(true);
        reader.start();
        return new Started(process, Targets.address(line.substring(line.lastIndexOf(' ') + 1)));
    }

    private static boolean isReady(InetSocketAddress at) throws IOException {
        try (Client client = new Client(at)) {
            return client.send(READY).status() == 200;
        }
    }

    private static void awaitReady(InetSocketAddress at) throws Exception {
        while (!isReady(at)) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    // ns for which the thread that starts it, and then its loop, were ready to run and had no core.
    private static long queued(Process process) throws IOException {
        long sum = 0;
        try (DirectoryStream<Path> threads =
                Files.newDirectoryStream(Path.of("/proc/" + process.pid() + "/task"))) {
            for (Path thread : threads) {
                String name = Files.readString(thread.resolve("comm"));
                if (name.startsWith("java") || name.startsWith("nioEventLoop")) {
                    sum +=
                            Long.parseLong(
                                    Files.readString(thread.resolve("schedstat")).split(" ")[1]);
                }
            }
        }
        return sum;
    }

    private static long descriptors(Process process) throws IOException {
        try (Stream<Path> open = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
            return open.count();
        }
    }

    /**
     * Idle clients, each of which has asked something and stays, while discovery accepts and is
     * silent. What is under way goes on, so do datagrams, and the watch has its connection when
     * discovery is back.
     */
    @Test
    void idleClientsThatFillTheDescriptorsWhileDiscoveryIsDownStopNothing() throws Exception {
        List<Client> idle = new ArrayList<>();
        InetAddress loopback = InetAddress.getLoopbackAddress();
        try (DatagramSocket peer = new DatagramSocket(0, loopback);
                FakeUpstream other = new FakeUpstream()) {
            String own = "127.0.0.1:" + freePort();
            InetSocketAddress at =
                    serve(
                                    Map.of(
                                            "peer_listen",
                                            own,
                                            "peers",
                                            List.of(own, "127.0.0.1:" + peer.getLocalPort())))
                            .at();
            awaitReady(at);
            Map<String, Client> working = new HashMap<>();
            for (int i = 0; i < 60; i++) {
                // Each with a connection to the upstream
                working.put(
                        "w" + i,
                        new Client(at).send(NodeTest.SAFE.replace("Req-Id: r1", "Req-Id: w" + i)));
            }
            idle.addAll(working.values());
            TimeUnit.SECONDS.sleep(2);
            List<FakeUpstream.Got> underWay = new ArrayList<>();
            while (!upstream.isEmpty()) {
                // The module may have refused some
                underWay.add(upstream.next());
            }
            assertTrue(underWay.size() >= 30, underWay.size() + " under way");
            for (int i = 0; i < 2 * LIMIT; i++) {
                Client client = new Client(at);
                idle.add(client);
                client.send(READY);
            }
            TimeUnit.MILLISECONDS.sleep(300);
            long full = descriptors(processes.get(0));
            assertTrue(full > LIMIT - 60 && full <= LIMIT, full + " descriptors");
            peer.setSoTimeout(20_000);
            while (!agent.isEmpty()) {
                // From before
                agent.next();
            }
            for (int i = 0; i < 3; i++) {
                // It goes on to ask, and to tell
                assertTrue(agent.next().line().contains("watch=1"));
                peer.receive(new DatagramPacket(new byte[256], 256));
            }
            for (FakeUpstream.Got got : underWay) {
                got.answer(200, "", "ok");
            }
            for (FakeUpstream.Got got : underWay) {
                assertEquals(200, working.get(got.header("Req-Id")).status());
            }
            Client next = working.get(underWay.get(0).header("Req-Id"));
            while (!agent.isEmpty()) {
                agent.next();
            }
            long back = System.nanoTime();
            FakeUpstream.Got watch = agent.next();
            watch.raw(HEAD + chunk(list(42, "s2", other.address()) + "\n"));
            next.send(NodeTest.SAFE);
            other.next().answer(200, "", "ok");
            assertEquals(200, next.status());
            assertTrue(System.nanoTime() - back < 6_000_000_000L);
        } finally {
            for (Client client : idle) {
                client.close();
            }
        }
    }

    private static int freePort() throws IOException {
        try (DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /**
     * Ten that start at once, with a list from before, while discovery is silent. What counts is
     * their own time, as on a machine that has a core for each: for how long they waited for one is
     * taken off.
     */
    @Test
    void nineInTenThatStartAtOnceAreReadyWithinTenSeconds() throws Exception {
        List<Thread> starts = new ArrayList<>();
        List<Long> took = Collections.synchronizedList(new ArrayList<>());
        for (int i = 0; i < 10; i++) {
            starts.add(
                    new Thread(
                            () -> {
                                long began = System.nanoTime();
                                try {
                                    Started started = serve(Map.of());
                                    awaitReady(started.at());
                                    took.add(
                                            (System.nanoTime() - began - queued(started.process()))
                                                    / 1_000_000);
                                } catch (Exception e) {
                                    took.add(Long.MAX_VALUE);
                                }
                            }));
        }
        for (Thread start : starts) {
            start.start();
        }
        for (Thread start : starts) {
            start.join();
        }
        List<Long> sorted = took.stream().sorted().toList();
        assertTrue(sorted.get(8) < 10_000, sorted + " ms");
    }
}
