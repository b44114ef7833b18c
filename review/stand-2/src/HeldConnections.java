import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;

/** Peers send a long body behind their first request, under the same id, and stay connected. */
final class HeldConnections {
    private static final int PEERS = 260;
    private static final int PEERS_PER_SECOND = 20;
    private static final int LONG_BODY_BYTES = 65_700;

    private static final AtomicInteger NEXT = new AtomicInteger();
    private static final LongAdder ANSWERED = new LongAdder();
    private static final List<Socket> HELD = Collections.synchronizedList(new ArrayList<>());

    public static void main(String[] args) throws Exception {
        Stand.main(args, HeldConnections::run);
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
        Load before = new Load(balancer.port, 8, 20, "rendeles", 1500);
        Stand.sleep(3000);
        before.stop();
        Stand.record("clients before: " + before);
        double begin = Stand.now();
        for (int i = 1; i <= PEERS; i++) {
            Stand.daemon(() -> peer(balancer.port));
            Stand.sleepUntil(begin + (double) i / PEERS_PER_SECOND);
        }
        Stand.sleep(4000);
        Stand.record(PEERS + " peers, " + ANSWERED + " answers to them; clients begin");
        Load after = new Load(balancer.port, 8, 20, "rendeles", 1500);
        Stand.sleep(20_000);
        after.stop();
        Stand.sleep(3000);
        Stand.record("clients beside the peers: " + after);
        balancer.recordLog("NullPointerException", "counters:");
        for (Socket socket : HELD) {
            socket.close();
        }
        Stand.sleep(2000);
        Load last = new Load(balancer.port, 8, 20, "rendeles", 1500);
        Stand.sleep(3000);
        last.stop();
        Stand.sleep(500);
        Stand.record("clients after the peers have left: " + last);
        return after.unanswered.sum() == 0;
    }

    private static Stand.Upstream upstream(String uid) throws IOException {
        return new Stand.Upstream(
                uid,
                "budapest",
                (request, arrivedAt) -> {
                    Stand.sleep(100);
                    return Stand.ok(uid + " " + request.header("Req-Id"));
                });
    }

    private static String request(String id, int bodyBytes) {
        return "POST /api HTTP/1.1\r\nHost: backend.local\r\nReq-Id: " + id
                + "\r\nReq-Kind: terheles\r\nReq-Owner: dunaoptika\r\nReq-Deadline-Ms: 2500"
                + "\r\nContent-Length: " + bodyBytes + "\r\n\r\n" + "x".repeat(bodyBytes);
    }

    private static void peer(int port) {
        String id = String.format("%016x", 0x6600000000L + NEXT.incrementAndGet());
        try {
            Socket socket = new Socket();
            HELD.add(socket);
            socket.connect(new InetSocketAddress(Stand.LOOPBACK, port), 3000);
            String first = request(id, 200);
            String second = Stand.TROUBLE ? request(id, LONG_BODY_BYTES) : "";
            socket.getOutputStream().write(Stand.ascii(first + second));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Stand.Message answer = Stand.Message.read(in);
            while (answer != null) {
                ANSWERED.increment();
                Stand.record("  peer " + id + ": " + answer.start);
                answer = Stand.Message.read(in);
            }
            Stand.record("  peer " + id + ": its connection was ended");
        } catch (IOException e) {
            Stand.record("  peer " + id + ": " + e);
        }
    }
}
