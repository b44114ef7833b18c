package loadbalancer.testbed.modelcheck;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import loadbalancer.testbed.workload.RandomStreams;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Visits the states that a model of some processes can reach, each once by its fingerprint. {@link
 * #explore} continues from the newest state as often as from a random one; {@link #randomWalk}
 * takes long paths from the start with an occasional fault, for violations that need a crash and
 * several lease durations to appear. One search per instance; not thread-safe.
 *
 * @param <W> a state of the model
 */
final class StateSpaceSearch<W extends StateSpaceSearch.State<W>> {
    // On average
    private static final int STEPS_PER_FAULT = 8;

    private final Model<W> model;
    private final Set<Long> visited = new HashSet<>();
    private long convergenceChecks;

    /** A state of all processes and of the messages between them. */
    interface State<W> {
        /** The state before, or null at the start. */
        W from();

        /** Time of the model in µs since the start. */
        long now();

        /** The event that led here, for the trace. */
        String step();
    }

    /** The transitions of the processes and the properties that must hold. */
    interface Model<W> {
        /** The states that one event leads to; their order decides what a seed visits. */
        List<W> successors(W state);

        /** Identifies a state; two states with one fingerprint count as the same. */
        long fingerprint(W state);

        /** Whether a fault led from one state to the other. */
        boolean isFaultTransition(W before, W state);

        /** Describes the invariant that a state breaks after the one before; empty: none. */
        String findViolation(W before, W state);

        /** Describes what has not converged if no fault follows the state; empty: all has. */
        String findConvergenceViolation(W state);
    }

    StateSpaceSearch(Model<W> model) {
        this.model = model;
    }

    /**
     * Explores from a state until that many were visited or none is left; convergence is checked
     * from one of them in {@code convergenceCheckInterval}.
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

    /** Explores by random walks from the start; the states beside a walk are checked too. */
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

    private CheckResult check(W before, W state, int convergenceCheckInterval) {
        String violation = model.findViolation(before, state);
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
