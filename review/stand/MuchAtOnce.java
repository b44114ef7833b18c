import java.nio.file.Path;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send requests at a low rate while other clients send much at once and go: each sends 17
 * requests with bodies of 64 KiB, the longest that the protocol allows. The balancer must not end,
 * and must not end the connection of a request that it has taken without an answer.
 */
public final class MuchAtOnce {
    private static final int CLIENTS = 6;
    private static final int CLIENT_PAUSE_MS = 60;
    private static final int DEADLINE_MS = 2_500;
    private static final int WAVES = 10;
    private static final int PEERS = 100;
    private static final int REQUESTS_AT_ONCE = 17;
    private static final int BODY_BYTES = 64 * 1024;
    private static final int GONE_AFTER_MS = 400;

    public static void main(String[] args) throws Exception {
        Stand.runCase(args, MuchAtOnce::run);
    }

    private static int run(Stand.Record record, Path directory, boolean trouble) throws Exception {
        String[] targets = new String[4];
        for (int i = 0; i < targets.length; i++) {
            String uid = "s-" + i;
            Stand.Server server = new Stand.Server((socket, in, out) -> {
                for (var request = Stand.readMessage(in);
                        request != null;
                        request = Stand.readMessage(in)) {
                    if (!request.start.contains(" /-/")) {
                        Stand.sleepMs(60);
                        record.line("%s: ran %s, answers", uid, request.header("Req-Id"));
                    }
                    out.write(Stand.response(
                            "200 OK", "", Stand.ascii("made for " + request.header("Req-Id"))));
                }
            });
            targets[i] = Stand.target(uid, server.address(), "budapest", "in_service");
        }
        String list = Stand.list(1, true, targets);
        Stand.Discovery discovery = new Stand.Discovery(1, list);
        Stand.Balancer balancer = new Stand.Balancer(record, directory, "n1");
        balancer.writeConfig(discovery.address(), 144, 384, list, "", Stand.settings(1, 0));
        balancer.start(discovery.address());
        if (!balancer.awaitReady(30_000)) {
            record.say("the balancer was not ready");
            return Stand.NOT_RUN;
        }
        AtomicBoolean stop = new AtomicBoolean();
        AtomicInteger answered = new AtomicInteger();
        ConcurrentLinkedQueue<String> cut = new ConcurrentLinkedQueue<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Stand.daemon("client", () -> ask(record, balancer, number, stop, answered, cut));
        }
        Stand.sleepMs(2_000);
        int waves = 0;
        while (waves < WAVES && balancer.isAlive()) {
            waves++;
            if (trouble) {
                record.line(
                        "%d clients send %d requests of %d bytes each at once and go after %d ms",
                        PEERS, REQUESTS_AT_ONCE, BODY_BYTES, GONE_AFTER_MS);
                wave(balancer.port, waves);
            }
            Stand.sleepMs(2_000);
        }
        boolean alive = balancer.isAlive();
        int exitCode = balancer.exitCode();
        stop.set(true);
        Stand.sleepMs(500);
        record.say(
                "%d waves; clients: %d requests answered; the balancer's process %s",
                waves, answered.get(), alive ? "runs" : "has ended with exit code " + exitCode);
        if (!alive) {
            cut.forEach(line -> record.say("  %s", line));
        }
        balancer.end();
        balancer.recordLog(20);
        if (answered.get() < 20) {
            record.say("too few requests were answered for a judgement");
            return Stand.NOT_RUN;
        }
        return alive ? Stand.HELD : Stand.BROKEN;
    }

    private static void wave(int port, int number) throws InterruptedException {
        CountDownLatch gone = new CountDownLatch(PEERS);
        for (int i = 0; i < PEERS; i++) {
            int peer = i;
            Stand.daemon("peer", () -> {
                try (Stand.Client client = new Stand.Client(port, 2_000)) {
                    for (int k = 0; k < REQUESTS_AT_ONCE; k++) {
                        String id = String.format("bb%02x%04x%08x", number, peer, k);
                        client.send(Stand.unsafeRequest(id, DEADLINE_MS, new byte[BODY_BYTES]));
                    }
                    Stand.sleepMs(GONE_AFTER_MS);
                } catch (Exception e) {
                    // The balancer has closed the connection, which it may.
                } finally {
                    gone.countDown();
                }
            });
        }
        gone.await();
    }

    private static void ask(
            Stand.Record record,
            Stand.Balancer balancer,
            int number,
            AtomicBoolean stop,
            AtomicInteger answered,
            ConcurrentLinkedQueue<String> cut) {
        int n = 0;
        while (!stop.get() && balancer.isAlive()) {
            try (Stand.Client client = new Stand.Client(balancer.port, 5_000)) {
                while (!stop.get()) {
                    String id = String.format("%04x%012x", 0xc000 + number, ++n);
                    client.send(Stand.unsafeRequest(id, DEADLINE_MS, Stand.ascii("charge " + id)));
                    record.line("client: sent %s", id);
                    Stand.Message answer;
                    try {
                        answer = client.read();
                    } catch (Exception e) {
                        answer = null;
                    }
                    if (answer == null) {
                        record.line("client: %s, connection ended without an answer", id);
                        cut.add("request " + id + ": connection ended without an answer");
                        break;
                    }
                    record.line("client: %s answered %d", id, answer.status());
                    answered.incrementAndGet();
                    Stand.sleepMs(CLIENT_PAUSE_MS);
                }
            } catch (Exception e) {
                record.line("client %d: %s", number, e.getMessage());
                Stand.sleepMs(CLIENT_PAUSE_MS);
            }
        }
    }
}
