import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Discovery takes 0.8 s to answer; then an upstream drains. */
final class SlowDiscovery {
    private static final double GRACE = 2.5;
    private static final double SLACK = 0.05;
    private static final long SLOW_MS = 800;

    public static void main(String[] args) throws Exception {
        Stand.main(args, SlowDiscovery::run);
    }

    private static boolean run() throws Exception {
        AtomicInteger late = new AtomicInteger();
        double[] limit = {Double.MAX_VALUE};
        List<Stand.Upstream> upstreams = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            String uid = "s" + i;
            upstreams.add(
                    new Stand.Upstream(
                            uid,
                            "budapest",
                            (request, arrivedAt) -> {
                                String id = request.header("Req-Id");
                                if (uid.equals("s1") && arrivedAt > limit[0]) {
                                    late.incrementAndGet();
                                    Stand.record("  s1 gets " + id + " after its drain's grace");
                                }
                                Stand.sleep(60);
                                return Stand.ok(uid + " " + id);
                            }));
        }
        Stand.Upstream leaving = upstreams.get(0);
        Stand.Discovery discovery = new Stand.Discovery(41, upstreams);
        Stand.Balancer balancer = new Stand.Balancer("n0");
        balancer.configure(
                discovery.port(), Stand.list(41, true, upstreams), Stand.settings(1, 0, 3), "");
        balancer.start(discovery.port());
        balancer.awaitReady();
        Load load = new Load(balancer.port, 12, 100, "terheles", 2500);
        Stand.sleep(3000);
        discovery.answerDelayMs = Stand.TROUBLE ? SLOW_MS : 0;
        discovery.closeConnections();
        Stand.record("the watch is reset, answers begin after " + discovery.answerDelayMs + " ms");
        Stand.sleep(2000);
        leaving.state = "terminating";
        discovery.tell(leaving);
        limit[0] = Stand.now() + 6 + GRACE + SLACK;
        Stand.sleepUntil(limit[0]);
        Stand.record("until the end of the grace: " + load);
        Stand.sleepUntil(limit[0] + 1.5);
        leaving.die();
        Stand.sleep(2000);
        load.stop();
        Stand.record("in all: " + load);
        Stand.record("requests sent to s1 after its drain's grace: " + late.get());
        return late.get() == 0;
    }
}
