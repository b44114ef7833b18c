import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;

/** Clients that send requests at an even rate, each on a connection that it keeps. */
final class Load {
    static final AtomicInteger NEXT_ID = new AtomicInteger();

    final LongAdder served = new LongAdder();
    final LongAdder refused = new LongAdder();
    final LongAdder failed = new LongAdder();
    final LongAdder unanswered = new LongAdder();
    private volatile boolean stopped;

    /** Starts clients, each with one request after the other, perSecond in all. */
    Load(int port, int clients, double perSecond, String kind, long deadlineMs) {
        for (int i = 0; i < clients; i++) {
            double first = Stand.now() + i / perSecond;
            Stand.daemon(() -> send(port, first, clients / perSecond, kind, deadlineMs));
        }
    }

    private void send(int port, double first, double interval, String kind, long deadlineMs) {
        Stand.Client client = null;
        for (double at = first; !stopped; at = Math.max(at + interval, Stand.now())) {
            Stand.sleepUntil(at);
            String id = String.format("%016x", 0x5a00000000L + NEXT_ID.incrementAndGet());
            try {
                client = client == null ? new Stand.Client(port) : client;
                client.send(kind, id, deadlineMs, 200);
                Stand.Message answer = client.receive();
                if (answer == null) {
                    throw new IOException("closed without an answer");
                }
                count(kind, id, answer);
                if ("close".equalsIgnoreCase(answer.header("Connection"))) {
                    client.close();
                    client = null;
                }
            } catch (IOException e) {
                unanswered.increment();
                Stand.record("  " + kind + " " + id + " got no answer: " + e.getMessage());
                client = null;
            }
        }
    }

    private void count(String kind, String id, Stand.Message answer) {
        int status = answer.status();
        (status == 200 ? served : status == 503 || status == 429 ? refused : failed).increment();
        if (status != 200) {
            Stand.record("  " + kind + " " + id + " answered " + status);
        }
    }

    void stop() {
        stopped = true;
    }

    @Override
    public String toString() {
        return served + " served, " + refused + " refused, " + failed + " failed, " + unanswered
                + " without an answer";
    }
}
