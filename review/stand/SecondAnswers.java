import java.net.SocketException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send requests at the site's rate; one answer in twenty is followed by a second copy of
 * itself some milliseconds later. Each 200 that a client gets must carry what an upstream made for
 * that request.
 */
public final class SecondAnswers {
    private static final int UPSTREAMS = 8;
    private static final int REQUESTS_PER_SECOND = 85;
    private static final int SECONDS = 45;
    private static final double SPOILT_SHARE = 0.05;
    private static final int MAX_LATE_MS = 8;

    public static void main(String[] args) throws Exception {
        Stand.runCase(args, SecondAnswers::run);
    }

    private static int run(Stand.Record record, Path directory, boolean trouble) throws Exception {
        AtomicInteger secondAnswers = new AtomicInteger();
        AtomicInteger ran = new AtomicInteger();
        String[] targets = new String[UPSTREAMS];
        for (int i = 0; i < UPSTREAMS; i++) {
            String uid = "s-" + i;
            Random random = new Random(17 + i);
            Stand.Server server =
                    new Stand.Server(
                            (socket, in, out) -> {
                                for (var request = Stand.readMessage(in);
                                        request != null;
                                        request = Stand.readMessage(in)) {
                                    if (request.start.contains(" /-/")) {
                                        out.write(Stand.response("200 OK", "", new byte[0]));
                                        continue;
                                    }
                                    String id = request.header("Req-Id");
                                    boolean spoilt;
                                    int workMs;
                                    int lateMs;
                                    synchronized (random) {
                                        spoilt = random.nextDouble() < SPOILT_SHARE;
                                        workMs = 45 + random.nextInt(40);
                                        lateMs = 1 + random.nextInt(MAX_LATE_MS);
                                    }
                                    Stand.sleepMs(workMs);
                                    ran.incrementAndGet();
                                    byte[] answer =
                                            Stand.response(
                                                    "200 OK",
                                                    "Content-Type: text/plain\r\n",
                                                    Stand.ascii("made for " + id));
                                    out.write(answer);
                                    record.line("%s: ran %s, answered", uid, id);
                                    if (trouble && spoilt) {
                                        Stand.sleepMs(lateMs);
                                        secondAnswers.incrementAndGet();
                                        record.line(
                                                "%s: second answer to %s, %d ms late",
                                                uid, id, lateMs);
                                        out.write(answer);
                                    }
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
        AtomicInteger served = new AtomicInteger();
        AtomicInteger other = new AtomicInteger();
        Set<String> foreign = ConcurrentHashMap.newKeySet();
        ConcurrentLinkedQueue<Stand.Client> idle = new ConcurrentLinkedQueue<>();
        Random arrivals = new Random(4711);
        long next = System.nanoTime();
        long end = next + SECONDS * 1_000_000_000L;
        for (int n = 1; next < end; n++) {
            next += (long) (-Math.log(1 - arrivals.nextDouble()) / REQUESTS_PER_SECOND * 1e9);
            long wait = next - System.nanoTime();
            if (wait > 0) {
                Thread.sleep(wait / 1_000_000, (int) (wait % 1_000_000));
            }
            String id = String.format("%016x", 0x1000_0000L + n);
            boolean unsafe = n % 2 == 0;
            Stand.daemon(
                    "client",
                    () -> ask(record, balancer, idle, id, unsafe, served, other, foreign));
        }
        Stand.sleepMs(3_500);
        record.say(
                "%d runs at upstreams, %d second answers; clients: %d served, %d other answers, %d served"
                        + " with what no upstream made for the request",
                ran.get(), secondAnswers.get(), served.get(), other.get(), foreign.size());
        foreign.forEach(line -> record.say("  %s", line));
        boolean alive = balancer.isAlive();
        balancer.end();
        balancer.recordLog(60);
        if (!alive || served.get() < REQUESTS_PER_SECOND * SECONDS / 2) {
            record.say("too few requests were served for a judgement");
            return Stand.NOT_RUN;
        }
        return foreign.isEmpty() ? Stand.HELD : Stand.BROKEN;
    }

    private static void ask(
            Stand.Record record,
            Stand.Balancer balancer,
            ConcurrentLinkedQueue<Stand.Client> idle,
            String id,
            boolean unsafe,
            AtomicInteger served,
            AtomicInteger other,
            Set<String> foreign) {
        byte[] request =
                unsafe
                        ? Stand.unsafeRequest(id, 2_500, Stand.ascii("charge " + id))
                        : Stand.keyedRequest(id, 1_500, Stand.ascii("order " + id));
        Stand.Client client = idle.poll();
        try {
            if (client == null) {
                client = new Stand.Client(balancer.port, 5_000);
            }
            record.line("client: sends %s (%s)", id, unsafe ? "terheles" : "rendeles");
            client.send(request);
            Stand.Message answer = client.read();
            if (answer == null) {
                throw new SocketException("closed between requests");
            }
            record.line("client: %s answered %d '%s'", id, answer.status(), answer.text().trim());
            if (answer.status() != 200) {
                other.incrementAndGet();
            } else {
                served.incrementAndGet();
                if (!answer.text().equals("made for " + id)) {
                    foreign.add(
                            "request " + id + " was answered 200 with '" + answer.text() + "'");
                }
            }
            if ("close".equalsIgnoreCase(answer.header("Connection"))) {
                client.close();
            } else {
                idle.add(client);
            }
        } catch (Exception e) {
            record.line("client: %s not answered: %s", id, e);
            other.incrementAndGet();
        }
    }
}
