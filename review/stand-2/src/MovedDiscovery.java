import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Discovery moves while the operators' settings file has an error. */
final class MovedDiscovery {
    private static final double GRACE = 2.5;
    private static final double SLACK = 0.05;

    public static void main(String[] args) throws Exception {
        Stand.main(args, MovedDiscovery::run);
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
        Stand.Discovery first = new Stand.Discovery(41, upstreams);
        Stand.Balancer balancer = new Stand.Balancer("n0");
        String known = Stand.list(41, true, upstreams);
        String settings = Stand.settings(1, 0, 3);
        balancer.configure(first.port(), known, settings, "");
        Path own = balancer.directory.resolve("own.toml");
        Files.writeString(own, "[zones]\non = true\n\n[state]\nevery_ms = 1000\n");
        balancer.set("TANSYFERRY_SETTINGS", own.toString());
        balancer.start(first.port());
        balancer.awaitReady();
        Load load = new Load(balancer.port, 12, 100, "terheles", 2500);
        Stand.sleep(3000);

        if (Stand.TROUBLE) {
            // An operator prepares the next start, with a value below the setting's bounds.
            Files.writeString(own, "[zones]\non = true\n\n[state]\nevery_ms = 50\n");
            Stand.record("the settings file now has an error");
        }
        Stand.sleep(1000);
        Stand.Discovery second = new Stand.Discovery(41, upstreams);
        balancer.configure(second.port(), known, settings, "");
        double signalled = Stand.now();
        balancer.signal("HUP");
        first.stopListening();
        Stand.sleepUntil(signalled + 1.0);
        leaving.state = "terminating";
        second.tell(leaving);
        double news = Stand.now();
        Stand.sleepUntil(signalled + 1.5);
        first.closeConnections();
        double told = Math.max(signalled + 4, news + 6);
        limit[0] = told + GRACE + SLACK;
        Stand.record(String.format("told %.2f s after the signal at the latest, nothing new to s1 "
                + "from %.2f s on", told - signalled, limit[0] - signalled));
        Stand.sleepUntil(limit[0]);
        Stand.record("until the end of the grace: " + load);
        Stand.sleepUntil(limit[0] + 1.5);
        leaving.die();
        Stand.sleep(2000);
        load.stop();
        Stand.record("in all: " + load);
        balancer.recordLog("configuration reload");
        Stand.record("requests sent to s1 after its drain's grace: " + late.get());
        return late.get() == 0;
    }
}
