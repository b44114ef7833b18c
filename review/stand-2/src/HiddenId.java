import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;

/** Peers send requests whose Connection header names Req-Id, so that it is not passed on. */
final class HiddenId {
    private static final double ANSWER_WITHIN = 3;
    private static final int PEERS_PER_SECOND = 65;
    private static final int BODY_BYTES = 4_000;
    private static final double LENGTH = 90;

    private static final AtomicInteger NEXT = new AtomicInteger();
    private static final LongAdder ERRORS = new LongAdder();
    private static final LongAdder SERVED = new LongAdder();
    private static final LongAdder CLOSED = new LongAdder();
    private static final LongAdder NEITHER = new LongAdder();
    private static final LongAdder NOT_CONNECTED = new LongAdder();

    public static void main(String[] args) throws Exception {
        Stand.main(args, HiddenId::run);
    }

    private static boolean run() throws Exception {
        List<Stand.Upstream> upstreams =
                List.of(upstream("s1"), upstream("s2"), upstream("s3"));
        Stand.Discovery discovery = new Stand.Discovery(41, upstreams);
        Stand.Balancer balancer = new Stand.Balancer("n0");
        balancer.configure(
                discovery.port(), Stand.list(41, true, upstreams), Stand.settings(1, 0, 3), "");
        balancer.start(discovery.port());
        balancer.awaitReady();
        Load load = new Load(balancer.port, 6, 50, "terheles", 2500);
        Stand.sleep(3000);
        Stand.record("before: " + load);
        double begin = Stand.now();
        int peers = 0;
        while (Stand.now() < begin + LENGTH && balancer.isAlive()) {
            Stand.daemon(() -> peer(balancer.port));
            peers++;
            Stand.sleepUntil(begin + (double) peers / PEERS_PER_SECOND);
            if (peers % (10 * PEERS_PER_SECOND) == 0) {
                Stand.record(peers + " peers: " + summary() + "; clients: " + load);
            }
        }
        Stand.sleep(3500);
        boolean alive = balancer.isAlive();
        load.stop();
        Stand.record(peers + " peers: " + summary() + "; clients: " + load);
        Stand.record(alive ? "the balancer runs" : "the balancer ended, exit code "
                + balancer.exitValue());
        balancer.recordLog("OutOfMemory", "policy exception", "NullPointer");
        return alive && NEITHER.sum() == 0;
    }

    private static Stand.Upstream upstream(String uid) throws IOException {
        return new Stand.Upstream(
                uid,
                "budapest",
                (request, arrivedAt) -> {
                    Stand.sleep(30);
                    return Stand.ok(uid + " " + request.header("Req-Id"));
                });
    }

    private static String summary() {
        return SERVED + " served, " + ERRORS + " got an error, " + CLOSED + " a close, " + NEITHER
                + " neither within 3 s, " + NOT_CONNECTED + " not connected";
    }

    private static void peer(int port) {
        String id = String.format("%016x", 0x6600000000L + NEXT.incrementAndGet());
        double connected = 0;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(Stand.LOOPBACK, port), 3000);
            connected = Stand.now();
            socket.getOutputStream().write(Stand.ascii(
                    "POST /api HTTP/1.1\r\nHost: backend.local\r\nReq-Id: " + id
                            + "\r\nReq-Kind: terheles\r\nReq-Owner: dunaoptika"
                            + "\r\nReq-Deadline-Ms: 2500\r\n"
                            + (Stand.TROUBLE ? "Connection: Req-Id\r\n" : "")
                            + "Content-Length: " + BODY_BYTES + "\r\n\r\n"
                            + "x".repeat(BODY_BYTES)));
            socket.setSoTimeout((int) (1000 * ANSWER_WITHIN) + 50);
            Stand.Message answer =
                    Stand.Message.read(new BufferedInputStream(socket.getInputStream()));
            (answer == null ? CLOSED : answer.status() == 200 ? SERVED : ERRORS).increment();
        } catch (java.net.SocketTimeoutException e) {
            (connected == 0 ? NOT_CONNECTED : NEITHER).increment();
            Stand.record("  peer " + id + (connected == 0 ? " not connected" : " got neither"));
        } catch (IOException e) {
            (connected == 0 ? NOT_CONNECTED : CLOSED).increment();
        }
    }
}
