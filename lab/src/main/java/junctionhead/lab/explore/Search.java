package junctionhead.lab.explore;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import junctionhead.lab.plan.Seeds;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Looks at the states that a model of some processes can come to, each once by its fingerprint.
 * {@link #explore} goes on from the newest found as often as from any; {@link #walk} goes long ways
 * from the start, with a fault now and then, for what takes somebody's death and a lease or two to
 * show.
 *
 * @param <W> a state, which knows how it was come to
 */
final class Search<W extends Search.State<W>> {
    // Steps of a walk, as a mean
    private static final int FAULT_EACH = 8;

    private final Model<W> model;
    private final Set<Long> seen = new HashSet<>();
    private long settled;

    /** A state of all processes and of what is under way between them. */
    interface State<W> {
        /** The state before; null at the start. */
        W from();

        /** µs since the start. */
        long now();

        /** What has led here. */
        String step();
    }

    /** What may happen, and what must hold. */
    interface Model<W> {
        List<W> after(W state);

        long fingerprint(W state);

        /** Whether a fault has led from that state to this one. */
        boolean struck(W before, W state);

        /** What is wrong with a state that came of that one; empty: nothing. */
        String wrong(W before, W state);

        /** What is wrong some time after the last fault; empty: nothing. */
        String settle(W state);
    }

    Search(Model<W> model) {
        this.model = model;
    }

    /**
     * Goes on from a state until so many were seen; from one of them in {@code settleEach} faults
     * end.
     */
    Finding explore(W start, long states, int settleEach, long seed) {
        UniformRandomProvider random = Seeds.stream(seed, "explorer");
        List<W> frontier = new ArrayList<>(List.of(start));
        while (!frontier.isEmpty() && seen.size() < states) {
            int last = frontier.size() - 1;
            Collections.swap(
                    frontier, random.nextBoolean() ? last : random.nextInt(last + 1), last);
            W state = frontier.remove(last);
            for (W next : model.after(state)) {
                if (seen.add(model.fingerprint(next))) {
                    Finding finding = look(state, next, settleEach);
                    if (finding != null) {
                        return finding;
                    }
                    frontier.add(next);
                }
            }
        }
        return new Finding(seen.size(), settled, "", List.of());
    }

    /** Walks of so many steps from the start; all states beside the way are looked at too. */
    Finding walk(W start, long states, int steps, int settleEach, long seed) {
        UniformRandomProvider random = Seeds.stream(seed, "walker");
        while (seen.size() < states) {
            W at = start;
            for (int i = 0; i < steps && seen.size() < states; i++) {
                List<W> calm = new ArrayList<>();
                List<W> struck = new ArrayList<>();
                for (W next : model.after(at)) {
                    Finding finding =
                            seen.add(model.fingerprint(next)) ? look(at, next, settleEach) : null;
                    if (finding != null) {
                        return finding;
                    }
                    (model.struck(at, next) ? struck : calm).add(next);
                }
                List<W> among = struck.isEmpty() || random.nextInt(FAULT_EACH) > 0 ? calm : struck;
                at = among.get(random.nextInt(among.size()));
            }
        }
        return new Finding(seen.size(), settled, "", List.of());
    }

    private Finding look(W before, W state, int settleEach) {
        String wrong = model.wrong(before, state);
        if (wrong.isEmpty() && seen.size() % settleEach == 0) {
            settled++;
            wrong = model.settle(state);
        }
        return wrong.isEmpty() ? null : new Finding(seen.size(), settled, wrong, story(state));
    }

    private List<String> story(W state) {
        List<String> steps = new ArrayList<>();
        for (W s = state; s != null; s = s.from()) {
            steps.add(s.now() / 1000 + " ms: " + s.step());
        }
        Collections.reverse(steps);
        return steps;
    }
}
