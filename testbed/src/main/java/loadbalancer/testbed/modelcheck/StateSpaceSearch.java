package loadbalancer.testbed.modelcheck;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import loadbalancer.testbed.workload.RandomStreams;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Looks at the states that a model of some processes can come to, each once by its fingerprint.
 * {@link #explore} goes on from the newest found as often as from any; {@link #randomWalk} goes
 * long ways from the start, with a fault now and then, for what takes somebody's death and a lease
 * or two to show.
 *
 * @param <W> a state, which knows how it was come to
 */
final class StateSpaceSearch<W extends StateSpaceSearch.State<W>> {
    // Steps of a walk, as a mean
    private static final int STEPS_PER_FAULT = 8;

    private final Model<W> model;
    private final Set<Long> visited = new HashSet<>();
    private long convergenceChecks;

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
        List<W> successors(W state);

        long fingerprint(W state);

        /** Whether a fault has led from that state to this one. */
        boolean isFaultTransition(W before, W state);

        /** What is wrong with a state that came of that one; empty: nothing. */
        String findViolation(W before, W state);

        /** What is wrong some time after the last fault; empty: nothing. */
        String findConvergenceViolation(W state);
    }

    StateSpaceSearch(Model<W> model) {
        this.model = model;
    }

    /**
     * Goes on from a state until so many were seen; from one of them in {@code
     * convergenceCheckInterval} faults end.
     */
    CheckResult explore(W start, long maxStates, int convergenceCheckInterval, long seed) {
        UniformRandomProvider random = RandomStreams.stream(seed, "explorer");
        List<W> frontier = new ArrayList<>(List.of(start));
        while (!frontier.isEmpty() && visited.size() < maxStates) {
            int last = frontier.size() - 1;
            Collections.swap(
                    frontier, random.nextBoolean() ? last : random.nextInt(last + 1), last);
            W state = frontier.remove(last);
            for (W successor : model.successors(state)) {
                if (visited.add(model.fingerprint(successor))) {
                    CheckResult result = check(state, successor, convergenceCheckInterval);
                    if (result != null) {
                        return result;
                    }
                    frontier.add(successor);
                }
            }
        }
        return new CheckResult(visited.size(), convergenceChecks, "", List.of());
    }

    /** Walks of so many steps from the start; all states beside the way are looked at too. */
    CheckResult randomWalk(
            W start, long maxStates, int stepsPerWalk, int convergenceCheckInterval, long seed) {
        UniformRandomProvider random = RandomStreams.stream(seed, "walker");
        while (visited.size() < maxStates) {
            W current = start;
            for (int i = 0; i < stepsPerWalk && visited.size() < maxStates; i++) {
                List<W> faultFree = new ArrayList<>();
                List<W> faulty = new ArrayList<>();
                for (W successor : model.successors(current)) {
                    CheckResult result =
                            visited.add(model.fingerprint(successor))
                                    ? check(current, successor, convergenceCheckInterval)
                                    : null;
                    if (result != null) {
                        return result;
                    }
                    (model.isFaultTransition(current, successor) ? faulty : faultFree)
                            .add(successor);
                }
                List<W> candidates =
                        faulty.isEmpty() || random.nextInt(STEPS_PER_FAULT) > 0
                                ? faultFree
                                : faulty;
                current = candidates.get(random.nextInt(candidates.size()));
            }
        }
        return new CheckResult(visited.size(), convergenceChecks, "", List.of());
    }

    private CheckResult check(W predecessor, W state, int convergenceCheckInterval) {
        String violation = model.findViolation(predecessor, state);
        if (violation.isEmpty() && visited.size() % convergenceCheckInterval == 0) {
            convergenceChecks++;
            violation = model.findConvergenceViolation(state);
        }
        return violation.isEmpty()
                ? null
                : new CheckResult(visited.size(), convergenceChecks, violation, traceTo(state));
    }

    private List<String> traceTo(W state) {
        List<String> steps = new ArrayList<>();
        for (W current = state; current != null; current = current.from()) {
            steps.add(current.now() / 1000 + " ms: " + current.step());
        }
        Collections.reverse(steps);
        return steps;
    }
}
