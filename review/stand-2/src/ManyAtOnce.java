import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

/** Clients send twenty-four requests at once on one connection, and wait for all answers. */
final class ManyAtOnce {
    private static final int CLIENTS = 10;
    private static final int REQUESTS = 24;
    private static final int DEADLINE_MS = 2_500;

    private static final LongAdder SERVED = new LongAdder();
    private static final LongAdder REFUSED = new LongAdder();
    private static final LongAdder FAILED = new LongAdder();
    private static final LongAdder LOST = new LongAdder();

    public static void main(String[] args) throws Exception {
        Stand.main(args, ManyAtOnce::run);
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
        Load load = new Load(balancer.port, 6, 30, "terheles", DEADLINE_MS);
        Stand.sleep(3000);
        CountDownLatch ended = new CountDownLatch(CLIENTS);
        for (int i = 0; i < CLIENTS; i++) {
            int client = i;
            Stand.daemon(
                    () -> {
                        client(balancer.port, client);
                        ended.countDown();
                    });
            Stand.sleep(500);
        }
        if (!ended.await(20, TimeUnit.SECONDS)) {
            throw new IllegalStateException("a client has not ended");
        }
        load.stop();
        Stand.record("other clients: " + load);
        Stand.record(CLIENTS + " clients with " + REQUESTS + " requests each: " + SERVED
                + " served, " + REFUSED + " refused, " + FAILED + " failed, " + LOST
                + " without an answer on a connection that the balancer closed");
        balancer.recordLog("pipelined");
        return LOST.sum() == 0;
    }

    private static Stand.Upstream upstream(String uid) throws IOException {
        return new Stand.Upstream(
                uid,
                "budapest",
                (request, arrivedAt) -> {
                    Stand.record("  " + uid + " gets " + request.header("Req-Id"));
                    Stand.sleep(20);
                    return Stand.ok(uid + " " + request.header("Req-Id"));
                });
    }

    private static String request(String id) {
        return "POST /api HTTP/1.1\r\nHost: backend.local\r\nReq-Id: " + id
                + "\r\nReq-Kind: terheles\r\nReq-Owner: dunaoptika\r\nReq-Deadline-Ms: "
                + DEADLINE_MS + "\r\nContent-Length: 200\r\n\r\n" + "x".repeat(200);
    }

    private static void client(int port, int client) {
        int answers = 0;
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(Stand.LOOPBACK, port), 3000);
            socket.setSoTimeout(DEADLINE_MS + 600);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < REQUESTS; i++) {
                String request = request(String.format("%016x", 0x7700000000L + client * 100 + i));
                if (Stand.TROUBLE) {
                    all.append(request);
                } else {
                    socket.getOutputStream().write(Stand.ascii(request));
                    answers += receive(in) ? 1 : 0;
                }
            }
            if (Stand.TROUBLE) {
                socket.getOutputStream().write(Stand.ascii(all.toString()));
                Stand.record("client " + client + " has sent " + REQUESTS + " requests at once");
                while (answers < REQUESTS && receive(in)) {
                    answers++;
                }
            }
        } catch (IOException e) {
            Stand.record("client " + client + ": " + e);
        }
        LOST.add(REQUESTS - answers);
        Stand.record("client " + client + " has got " + answers + " answers");
    }

    private static boolean receive(InputStream in) throws IOException {
        Stand.Message answer = Stand.Message.read(in);
        if (answer == null) {
            return false;
        }
        int status = answer.status();
        (status == 200 ? SERVED : status == 503 || status == 429 ? REFUSED : FAILED).increment();
        return true;
    }
}
