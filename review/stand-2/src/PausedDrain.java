import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** A balancer is paused for three seconds, in which an upstream declines and another one drains. */
final class PausedDrain {
    private static final double GRACE = 2.5;
    private static final double SLACK = 0.05;
    private static final int REQUESTS = 16;

    public static void main(String[] args) throws Exception {
        Stand.main(args, PausedDrain::run);
    }

    private static boolean run() throws Exception {
        AtomicInteger late = new AtomicInteger();
        AtomicInteger held = new AtomicInteger();
        double[] limit = {Double.MAX_VALUE};
        boolean[] holding = {false};
        CountDownLatch served = new CountDownLatch(1);
        CountDownLatch declined = new CountDownLatch(1);
        List<Stand.Upstream> upstreams = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            String uid = "s" + i;
            upstreams.add(
                    new Stand.Upstream(
                            uid,
                            "budapest",
                            (request, arrivedAt) -> {
                                String id = request.header("Req-Id");
                                if (uid.equals("s2") && arrivedAt > limit[0]) {
                                    late.incrementAndGet();
                                    Stand.record("  s2 gets " + id + " after its drain's grace");
                                }
                                if (holding[0]) {
                                    held.incrementAndGet();
                                    Stand.record("  " + uid + " gets " + id);
                                    (uid.equals("s1") ? declined : served).await();
                                    if (uid.equals("s1")) {
                                        return Stand.DECLINED;
                                    }
                                } else {
                                    Stand.sleep(30);
                                }
                                return Stand.ok(uid + " " + id);
                            }));
        }
        Stand.Upstream leaving = upstreams.get(1);
        Stand.Discovery discovery = new Stand.Discovery(41, upstreams);
        Stand.Balancer balancer = new Stand.Balancer("n0");
        balancer.configure(
                discovery.port(), Stand.list(41, true, upstreams), Stand.settings(1, 0, 5), "");
        balancer.start(discovery.port());
        balancer.awaitReady();
        Load load = new Load(balancer.port, 12, 120, "lekerdezes", 5000);
        Stand.sleep(3000);
        load.stop();
        Stand.sleep(300);
        Stand.record("before: " + load);

        holding[0] = true;
        AtomicInteger answered = new AtomicInteger();
        for (int i = 0; i < REQUESTS; i++) {
            String id = String.format("%016x", 0x7000000000L + i);
            Stand.daemon(
                    () -> {
                        try (Stand.Client client = new Stand.Client(balancer.port)) {
                            client.send("lekerdezes", id, 5000, 0);
                            Stand.Message answer = client.receive();
                            answered.incrementAndGet();
                            Stand.record("  " + id + " answered " + answer.start
                                    + " " + answer.text());
                        } catch (Exception e) {
                            Stand.record("  " + id + " " + e);
                        }
                    });
        }
        Stand.sleep(150);
        Stand.record("upstreams hold " + held.get() + " requests");
        double paused = Stand.now();
        if (Stand.TROUBLE) {
            balancer.signal("STOP");
        }
        Stand.sleepUntil(paused + 0.1);
        holding[0] = false;
        served.countDown();
        Stand.sleepUntil(paused + 0.2);
        declined.countDown();
        Stand.record("s1 has declined");
        Stand.sleepUntil(paused + 0.3);
        leaving.state = "terminating";
        discovery.tell(leaving);
        limit[0] = Stand.now() + GRACE + SLACK;
        Stand.sleepUntil(paused + 3.0);
        if (Stand.TROUBLE) {
            balancer.signal("CONT");
        }
        Stand.sleep(2000);
        Stand.record("answered: " + answered.get() + " of " + REQUESTS);
        Stand.record("requests sent to s2 after its drain's grace: " + late.get());
        return late.get() == 0;
    }
}
