package junctionhead.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import junctionhead.net.NodeTest.Client;
import junctionhead.net.NodeTest.Scripted;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;

/**
 * A balancer over loopback sockets for tests of what is still owed, or arriving, in the very turn
 * in which something ends: see docs/design/endings.md.
 */
@Timeout(60)
abstract class Crossing {
    /**
     * A module that may leave attempts of those who left alone, say no to a late write, or try once
     * more.
     */
    static final class Module extends Scripted {
        volatile boolean cancels = true;
        volatile boolean mayBegin = true;
        volatile boolean triesAgain;

        @Override
        public void outcome(
                long now,
                String request,
                int attempt,
                Outcome outcome,
                long latency,
                boolean closed,
                Load load,
                Actions out) {
            if (triesAgain && !closed && outcome == Outcome.FULL) {
                told.add("again");
                out.send(request, "s1", 0);
            } else {
                super.outcome(now, request, attempt, outcome, latency, closed, load, out);
            }
        }

        @Override
        public void clientGone(long now, String request, Actions out) {
            told.add("gone");
            if (cancels) {
                out.cancel(request, 0);
            }
        }

        @Override
        public boolean mayBegin(long now, String request, int attempt) {
            return mayBegin;
        }
    }

    final Module module = new Module();
    FakeUpstream upstream;
    Node node;
    InetSocketAddress at;

    @BeforeEach
    void open() throws IOException {
        upstream = new FakeUpstream();
    }

    @AfterEach
    void close() throws IOException {
        if (node != null) {
            node.stop();
        }
        upstream.close();
    }

    final void start() throws IOException, InterruptedException {
        start(upstream.address());
    }

    final void start(String endpoint) throws IOException, InterruptedException {
        Map<String, Object> settings = NodeTest.settings();
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
                        30_000_000,
                        "IdleClose",
                        30_000_000));
        node =
                new Node(
                        Config.of(
                                Map.of(),
                                Map.of(
                                        "name",
                                        "n1",
                                        "listen",
                                        "127.0.0.1:0",
                                        "discovery",
                                        "127.0.0.1:9",
                                        "seed",
                                        "1",
                                        "settings",
                                        settings,
                                        "known",
                                        JSON.std.mapFrom(
                                                "{\"rev\":1,\"all\":true,\"targets\":["
                                                        + "{\"uid\":\"s1\",\"endpoint\":\""
                                                        + endpoint
                                                        + "\",\"state\":\"in_service\",\"boot_ms\":0}]}"))),
                        (s, seed) -> module,
                        false,
                        line -> {});
        at = node.start();
        assertEquals("PERSISTED [s1=UP]", module.next());
    }

    static final String request(String id) {
        return NodeTest.SAFE.replace("Req-Id: r1", "Req-Id: " + id);
    }

    final void taken() throws InterruptedException {
        assertEquals("0 k1 700 true", module.requests.poll(20, TimeUnit.SECONDS));
    }

    /** The next that reaches the upstream is {@code id}; its client gets that as its answer. */
    final FakeUpstream.Got serves(Client client, String id)
            throws IOException, InterruptedException {
        FakeUpstream.Got got = upstream.next();
        assertEquals(id, got.header("Req-Id"));
        got.answer(200, "", id);
        assertEquals(200, client.status());
        assertEquals(id, new String(client.body, StandardCharsets.UTF_8));
        return got;
    }
}
