package junctionhead;

import java.util.ArrayList;
import java.util.List;

/** The README's example: a caller that embeds the module. */
final class Example {
    private Example() {}

    static List<String> run() {
        List<String> done = new ArrayList<>();
        Policy.RequestClass reads =
                new Policy.RequestClass(
                        Policy.Effect.SAFE,
                        Policy.Scope.ALL,
                        0,
                        300_000,
                        1_000_000,
                        0,
                        1,
                        0,
                        false);
        Policy.Settings settings =
                new Policy.Settings(
                        2,
                        0,
                        0,
                        List.of(reads),
                        List.of(),
                        1,
                        new Policy.Goal(1, 0, 0, 0),
                        new Policy.Prices(0, 0),
                        false,
                        Policy.Discovery.PUSH,
                        Policy.Reports.NONE,
                        false,
                        new Policy.Limits(3, true, true, false, 250_000, 0),
                        new Policy.Bounds(
                                20_000, 1_000_000, 0, 0.2, 20_000_000, 2.5, 1_500_000, 100_000),
                        1_000);
        Policy policy = new Balance(settings, 42);
        Policy.Actions actions = new Sink(done);

        long now = 0;
        policy.servers(
                now,
                Policy.ListKind.PERSISTED,
                List.of(new Policy.Server("a:80", Policy.State.UP, 0, 1, 0, 0, 0)),
                actions);
        // Asks for send("r1", "a:80", ..).
        policy.request(now, "r1", 0, 0, null, 1_000_000, -1, false, actions);
        now = 40_000;
        policy.outcome(now, "r1", 0, Policy.Outcome.OK, 40_000, true, null, actions);
        return done;
    }

    /** Carries out what the module asks for; here it only writes sends down. */
    private record Sink(List<String> done) implements Policy.Actions {
        @Override
        public void send(String request, String server, long timeout) {
            done.add("send " + request + " to " + server);
        }

        @Override
        public void refuse(String request, long retryAfter) {}

        @Override
        public void fail(String request) {}

        @Override
        public void cancel(String request, int attempt) {}

        @Override
        public void probe(String server) {}

        @Override
        public void watch(boolean on) {}

        @Override
        public void fetchList() {}

        @Override
        public void closeIdle(String server) {}

        @Override
        public void tell(int peer, byte[] data) {}

        @Override
        public void wakeAfter(long delay) {}

        @Override
        public void remark(String line) {}
    }
}
