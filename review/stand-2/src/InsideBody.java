import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Peers begin a chunk of over 4 GB, and what they send of it looks like a request. */
final class InsideBody {
    private static final int PEERS = 40;
    private static final String OUTER = "00000000aaaa";
    private static final String INNER = "00000000bbbb";

    private static final AtomicInteger INNER_AT_UPSTREAMS = new AtomicInteger();
    private static final AtomicInteger OUTER_AT_UPSTREAMS = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        Stand.main(args, InsideBody::run);
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
        Load load = new Load(balancer.port, 6, 30, "terheles", 2500);
        Stand.sleep(2000);
        CountDownLatch ended = new CountDownLatch(PEERS);
        for (int i = 0; i < PEERS; i++) {
            int peer = i;
            Stand.daemon(
                    () -> {
                        peer(balancer.port, peer);
                        ended.countDown();
                    });
            Stand.sleep(100);
        }
        if (!ended.await(20, TimeUnit.SECONDS)) {
            throw new IllegalStateException("a peer has not ended");
        }
        load.stop();
        Stand.record("clients: " + load);
        Stand.record(PEERS + " peers: " + OUTER_AT_UPSTREAMS + " requests of their own and "
                + INNER_AT_UPSTREAMS + " that stood inside a body came to upstreams");
        return INNER_AT_UPSTREAMS.get() == 0;
    }

    private static Stand.Upstream upstream(String uid) throws IOException {
        return new Stand.Upstream(
                uid,
                "budapest",
                (request, arrivedAt) -> {
                    String id = request.header("Req-Id");
                    if (id.startsWith(INNER)) {
                        INNER_AT_UPSTREAMS.incrementAndGet();
                        Stand.record("  " + uid + " gets " + id + ", which nobody sent");
                        return "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n";
                    }
                    if (id.startsWith(OUTER)) {
                        OUTER_AT_UPSTREAMS.incrementAndGet();
                        Stand.record("  " + uid + " gets " + id + " with "
                                + request.body.length + " bytes");
                    }
                    Stand.sleep(20);
                    return Stand.ok(uid + " " + id);
                });
    }

    private static String head(String id, String framing) {
        return "POST /api HTTP/1.1\r\nHost: backend.local\r\nReq-Id: " + id
                + "\r\nReq-Kind: terheles\r\nReq-Owner: dunaoptika\r\nReq-Deadline-Ms: 2500\r\n"
                + framing + "\r\n\r\n";
    }

    private static void peer(int port, int peer) {
        String number = String.format("%04x", peer);
        String inner = head(INNER + number, "Content-Length: 5") + "hello";
        // The data of one chunk: in both cases all of it is the outer request's body.
        String data = "abcde\r\n0\r\n\r\n" + inner;
        String size = Stand.TROUBLE ? "100000005" : Integer.toHexString(data.length());
        String end = Stand.TROUBLE ? "" : "\r\n0\r\n\r\n";
        List<String> answers = new ArrayList<>();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(Stand.LOOPBACK, port), 3000);
            socket.setSoTimeout(3050);
            socket.getOutputStream().write(Stand.ascii(
                    head(OUTER + number, "Transfer-Encoding: chunked")
                            + size + "\r\n" + data + end));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Stand.Message answer = Stand.Message.read(in);
                    answer != null;
                    answer = Stand.Message.read(in)) {
                answers.add(answer.start);
            }
            answers.add("close");
        } catch (SocketTimeoutException e) {
            answers.add("nothing more in 3 s");
        } catch (IOException e) {
            answers.add(e.toString());
        }
        Stand.record("  peer " + number + ": " + answers);
    }
}
