package junctionhead.lab.sim;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import junctionhead.Policy;

/**
 * What one compares with: a rule that chooses a server, and nothing else. It sends each request to
 * a listed server, again where nothing can have run, and fails it after that; it knows its own
 * requests in flight only.
 */
public final class Baseline implements Policy {
    private static final int ATTEMPTS_MOST = 4;
    // D of the paper
    private static final int POLLED = 4;
    // A of the paper
    private static final int ACCOMPLISHED = 2;

    /** Which rule chooses. */
    public enum Rule {
        RANDOM,
        ROUND_ROBIN,
        TWO_CHOICES,
        LEAST_QUEUE,
        JSQ_DAS
    }

    private final Rule rule;
    private final double fast;
    private final SplittableRandom random;
    private final Settings settings;
    private final Map<String, Target> targets = new LinkedHashMap<>();
    private List<Target> up = new ArrayList<>();
    private final Map<String, Open> open = new HashMap<>();
    private int turn;

    private static final class Target {
        private final String id;
        private int inFlight;
        private long dispatched;

        Target(String id) {
            this.id = id;
        }
    }

    private static final class Open {
        private final Effect effect;
        private final List<Target> sent = new ArrayList<>(1);

        Open(Effect effect) {
            this.effect = effect;
        }
    }

    /** {@code fast}: the paper's p, the part of the servers that counts as accomplished. */
    public Baseline(Rule rule, double fast, Settings settings, long seed) {
        this.rule = rule;
        this.fast = fast;
        this.settings = settings;
        this.random = new SplittableRandom(seed);
    }

    @Override
    public void servers(long now, ListKind kind, List<Server> servers, Actions out) {
        if (kind == ListKind.FAILED) {
            return;
        }
        if (kind != ListKind.PARTIAL) {
            targets.keySet().retainAll(servers.stream().map(Server::id).toList());
        }
        for (Server s : servers) {
            if (s.state() == State.UP) {
                targets.computeIfAbsent(s.id(), Target::new);
            } else {
                targets.remove(s.id());
            }
        }
        up = new ArrayList<>(targets.values());
    }

    @Override
    public void request(
            long now,
            String request,
            int requestClass,
            int tenant,
            String key,
            long timeLeft,
            long work,
            boolean resubmission,
            Actions out) {
        Open r = new Open(settings.classes().get(requestClass).effect());
        open.put(request, r);
        send(request, r, out);
    }

    private void send(String request, Open r, Actions out) {
        if (up.isEmpty() || r.sent.size() == ATTEMPTS_MOST) {
            open.remove(request);
            out.fail(request);
            return;
        }
        Target t = choose();
        t.inFlight++;
        t.dispatched++;
        r.sent.add(t);
        out.send(request, t.id, 0);
    }

    private Target choose() {
        return switch (rule) {
            case RANDOM -> up.get(random.nextInt(up.size()));
            case ROUND_ROBIN -> up.get(turn++ % up.size());
            case TWO_CHOICES -> shortest(drawn(up, 2));
            case LEAST_QUEUE -> shortest(drawn(up, up.size()));
            case JSQ_DAS -> accomplished();
        };
    }

    // Ranked by lifetime dispatches; ties of queues go to the more accomplished, who comes first.
    private Target accomplished() {
        List<Target> ranked = new ArrayList<>(up);
        ranked.sort(Comparator.comparingLong(t -> -t.dispatched));
        int top = (int) Math.max(1, Math.min(ranked.size() - 1, Math.round(fast * ranked.size())));
        if (ranked.size() == 1) {
            return ranked.get(0);
        }
        List<Target> polled = drawn(ranked.subList(0, top), ACCOMPLISHED);
        polled.addAll(drawn(ranked.subList(top, ranked.size()), POLLED - ACCOMPLISHED));
        polled.sort(Comparator.comparingLong(t -> -t.dispatched));
        return shortest(polled);
    }

    private List<Target> drawn(List<Target> from, int count) {
        List<Target> left = new ArrayList<>(from);
        int wanted = Math.min(count, left.size());
        for (int i = 0; i < wanted; i++) {
            java.util.Collections.swap(left, i, i + random.nextInt(left.size() - i));
        }
        return new ArrayList<>(left.subList(0, wanted));
    }

    private static Target shortest(List<Target> of) {
        Target best = of.get(0);
        for (Target t : of) {
            best = t.inFlight < best.inFlight ? t : best;
        }
        return best;
    }

    @Override
    public void outcome(
            long now,
            String request,
            int attempt,
            Outcome outcome,
            long latency,
            boolean closed,
            Load load,
            Actions out) {
        Open r = open.get(request);
        if (r == null) {
            return;
        }
        r.sent.get(attempt).inFlight--;
        if (closed) {
            open.remove(request);
        } else if (outcome.neverRan() || r.effect == Effect.SAFE && outcome != Outcome.TIMEOUT) {
            send(request, r, out);
        } else {
            open.remove(request);
            out.fail(request);
        }
    }

    @Override
    public void streamStarted(long now, String request, int attempt, Actions out) {
        // The lab has no streamed classes.
    }

    @Override
    public void clientGone(long now, String request, Actions out) {
        Open r = open.remove(request);
        if (r != null) {
            out.cancel(request, r.sent.size() - 1);
            r.sent.get(r.sent.size() - 1).inFlight--;
        }
    }

    @Override
    public void probed(
            long now, String server, Outcome outcome, long latency, Load load, Actions out) {
        // It never asks.
    }

    @Override
    public void wake(long now, Actions out) {
        // Nor does it ask for this.
    }
}
