import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/**
 * Clients send requests while peers connect, send nothing and go, some hundreds at a time. Each
 * request that a client has sent must get its final answer, or its connection must be closed,
 * within half a second after its time.
 */
public final class IdlePeers {
    private static final int CLIENTS = 6;
    private static final int CLIENT_PAUSE_MS = 60;
    private static final int DEADLINE_MS = 1_500;
    private static final int LATEST_ANSWER_MS = DEADLINE_MS + 500;
    private static final int MAX_WAVES = 60;
    private static final int PEERS_PER_WAVE = 400;
    private static final int MIN_HOLD_MS = 20;
    private static final int HOLD_SPREAD_MS = 180;
    private static final int SOCKETS = 384;
    private static final int WAVE_INTERVAL_MS = 500;

    public static void main(String[] args) throws Exception {
        Stand.runCase(args, IdlePeers::run);
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
        balancer.writeConfig(discovery.address(), 144, SOCKETS, list, "", Stand.settings(1, 0));
        balancer.start(discovery.address());
        if (!balancer.awaitReady(30_000)) {
            record.say("the balancer was not ready");
            return Stand.NOT_RUN;
        }
        AtomicBoolean stop = new AtomicBoolean();
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger closed = new AtomicInteger();
        ConcurrentLinkedQueue<String> lost = new ConcurrentLinkedQueue<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients.add(Stand.daemon(
                    "client",
                    () -> ask(record, balancer, number, stop, answered, closed, lost)));
        }
        Stand.sleepMs(2_000);
        int peers = 0;
        Random random = new Random(41);
        int waves = 0;
        while (waves < MAX_WAVES && lost.isEmpty() && balancer.isAlive()) {
            waves++;
            if (trouble) {
                int opened = wave(balancer.port, random);
                peers += opened;
                record.line("peers: %d connected, sent nothing and went", opened);
            }
            Stand.sleepMs(WAVE_INTERVAL_MS);
        }
        // What was sent until now is due in this time.
        Stand.sleepMs(LATEST_ANSWER_MS + 1_000);
        stop.set(true);
        for (Thread client : clients) {
            client.join(LATEST_ANSWER_MS + 2_000);
        }
        boolean alive = balancer.isAlive();
        record.say(
                "%d waves, %d idle peers; clients: %d requests answered, %d met a closed connection, %d"
                        + " neither answered nor closed; process %s",
                waves, peers, answered.get(), closed.get(), lost.size(), alive ? "runs" : "ended");
        lost.forEach(line -> record.say("  %s", line));
        if (alive && !lost.isEmpty()) {
            record.say("5 s later GET /-/ready is %s", later(balancer));
        }
        balancer.end();
        balancer.recordLog(40);
        if (answered.get() < 20) {
            record.say("too few requests were answered for a judgement");
            return Stand.NOT_RUN;
        }
        return alive && lost.isEmpty() ? Stand.HELD : Stand.BROKEN;
    }

    private static String later(Stand.Balancer balancer) {
        Stand.sleepMs(5_000);
        return balancer.isReady(3_000) ? "answered" : "not answered within 3 s";
    }

    // Each peer goes by itself, after a time of its own.
    private static int wave(int port, Random random) throws Exception {
        TreeMap<Long, Socket> byEnd = new TreeMap<>();
        for (int i = 0; i < PEERS_PER_WAVE; i++) {
            Socket socket = new Socket();
            try {
                socket.connect(new InetSocketAddress("127.0.0.1", port), 300);
                double holdMs = MIN_HOLD_MS + HOLD_SPREAD_MS * random.nextDouble();
                byEnd.put(System.nanoTime() + (long) (holdMs * 1e6), socket);
            } catch (Exception e) {
                // The backlog is full.
                socket.close();
                break;
            }
        }
        for (var entry : byEnd.entrySet()) {
            long waitNanos = entry.getKey() - System.nanoTime();
            if (waitNanos > 100_000) {
                LockSupport.parkNanos(waitNanos);
            }
            entry.getValue().close();
        }
        return byEnd.size();
    }

    private static void ask(
            Stand.Record record,
            Stand.Balancer balancer,
            int number,
            AtomicBoolean stop,
            AtomicInteger answered,
            AtomicInteger closed,
            ConcurrentLinkedQueue<String> lost) {
        int n = 0;
        while (!stop.get()) {
            try (Stand.Client client = new Stand.Client(balancer.port, LATEST_ANSWER_MS)) {
                boolean open = true;
                while (open && !stop.get()) {
                    String id = String.format("%04x%012x", 0xc000 + number, ++n);
                    open = askOnce(record, client, id, answered, closed, lost);
                    Stand.sleepMs(CLIENT_PAUSE_MS);
                }
            } catch (Exception e) {
                record.line("client %d: not connected: %s", number, e.getMessage());
                Stand.sleepMs(CLIENT_PAUSE_MS);
            }
        }
    }

    // Returns whether the connection can be used again.
    private static boolean askOnce(
            Stand.Record record,
            Stand.Client client,
            String id,
            AtomicInteger answered,
            AtomicInteger closed,
            ConcurrentLinkedQueue<String> lost) {
        long sentAt = System.nanoTime();
        try {
            client.send(Stand.unsafeRequest(id, DEADLINE_MS, Stand.ascii("charge " + id)));
            record.line("client: sent %s", id);
            Stand.Message answer = client.read();
            if (answer == null) {
                record.line("client: %s, connection closed", id);
                closed.incrementAndGet();
                return false;
            }
            record.line("client: %s answered %d", id, answer.status());
            answered.incrementAndGet();
            return !"close".equalsIgnoreCase(answer.header("Connection"));
        } catch (SocketTimeoutException e) {
            long ms = (System.nanoTime() - sentAt) / 1_000_000;
            record.line("client: %s neither answered nor closed after %d ms", id, ms);
            lost.add("request " + id + ", deadline " + DEADLINE_MS + " ms, no answer after " + ms + " ms");
            return false;
        } catch (Exception e) {
            record.line("client: %s, connection reset: %s", id, e.getMessage());
            closed.incrementAndGet();
            return false;
        }
    }
}
