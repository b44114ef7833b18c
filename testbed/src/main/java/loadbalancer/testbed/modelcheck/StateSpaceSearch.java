package loadbalancer.testbed.modelcheck;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
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
    // Of a random walk, on average
    private static final int STEPS_PER_FAULT = 8;

    private final ClusterTransitions<W> transitions;
    private final Model<W> model;
    private final Set<Long> visited = new HashSet<>();
    private long convergenceChecks;

    /** A state of all processes and of the messages between them. */
    interface State<W> {
        /** The state before, or null at the start. */
        W previous();

        /** Time of the model in µs. */
        long nowMicros();

        /** How many faults may still happen after this state. */
        int remainingFaults();

        /** The event that led here, for the trace. */
        String step();
    }

    /** What tells states apart, and the properties that must hold in them. */
    interface Model<W> {
        /** Identifies a state; two states with one fingerprint count as the same. */
        long fingerprint(W state);

        /** Describes the invariant that a state breaks after the one before; empty: none. */
        String findViolation(W before, W state);

        /** Describes what has not converged if no fault follows the state; empty: all has. */
        String findConvergenceViolation(W state);
    }

    StateSpaceSearch(ClusterTransitions<W> transitions, Model<W> model) {
        this.transitions = transitions;
        this.model = model;
    }

    /**
     * Explores from the initial state until that many were visited or none is left.
     *
     * @param maxFaults upper bound of faults on one path
     * @param convergenceCheckInterval convergence is checked from one state in that many
     */
    CheckResult explore(long maxStates, int maxFaults, int convergenceCheckInterval, long seed) {
        UniformRandomProvider random = RandomStreams.stream(seed, "explorer");
        List<W> frontier = new ArrayList<>(List.of(transitions.initialState(maxFaults)));
        while (!frontier.isEmpty() && visited.size() < maxStates) {
            W state = removeNewestOrRandom(frontier, random);
            for (W successor : transitions.successors(state)) {
                if (visited.add(model.fingerprint(successor))) {
                    Optional<CheckResult> violation =
                            check(state, successor, convergenceCheckInterval);
                    if (violation.isPresent()) {
                        return violation.get();
                    }
                    frontier.add(successor);
                }
            }
        }
        return new CheckResult(visited.size(), convergenceChecks, "", List.of());
    }

    private W removeNewestOrRandom(List<W> frontier, UniformRandomProvider random) {
        int last = frontier.size() - 1;
        int chosen = random.nextBoolean() ? last : random.nextInt(last + 1);
        Collections.swap(frontier, chosen, last);
        return frontier.remove(last);
    }

    /**
     * Explores by random walks from the initial state; the states beside a walk are checked too.
     * See {@link #explore} for the other parameters.
     *
     * @param stepsPerWalk length of one walk
     */
    CheckResult randomWalk(
            long maxStates,
            int maxFaults,
            int stepsPerWalk,
            int convergenceCheckInterval,
            long seed) {
        UniformRandomProvider random = RandomStreams.stream(seed, "walker");
        W start = transitions.initialState(maxFaults);
        while (visited.size() < maxStates) {
            W current = start;
            for (int i = 0; i < stepsPerWalk && visited.size() < maxStates; i++) {
                List<W> successors = transitions.successors(current);
                for (W successor : successors) {
                    Optional<CheckResult> violation =
                            visit(current, successor, convergenceCheckInterval);
                    if (violation.isPresent()) {
                        return violation.get();
                    }
                }
                current = chooseNext(current, successors, random);
            }
        }
        return new CheckResult(visited.size(), convergenceChecks, "", List.of());
    }

    private Optional<CheckResult> visit(W before, W state, int convergenceCheckInterval) {
        return visited.add(model.fingerprint(state))
                ? check(before, state, convergenceCheckInterval)
                : Optional.empty();
    }

    private W chooseNext(W current, List<W> successors, UniformRandomProvider random) {
        List<W> faultFree = new ArrayList<>();
        List<W> faulty = new ArrayList<>();
        for (W successor : successors) {
            (isFaultTransition(current, successor) ? faulty : faultFree).add(successor);
        }
        boolean withoutFault = faulty.isEmpty() || random.nextInt(STEPS_PER_FAULT) > 0;
        List<W> candidates = withoutFault ? faultFree : faulty;
        return candidates.get(random.nextInt(candidates.size()));
    }

    private boolean isFaultTransition(W before, W state) {
        return state.remainingFaults() < before.remainingFaults();
    }

    private Optional<CheckResult> check(W before, W state, int convergenceCheckInterval) {
        String violation = model.findViolation(before, state);
        if (violation.isEmpty() && visited.size() % convergenceCheckInterval == 0) {
            convergenceChecks++;
            violation = model.findConvergenceViolation(state);
        }
        return violation.isEmpty()
                ? Optional.empty()
                : Optional.of(
                        new CheckResult(
                                visited.size(), convergenceChecks, violation, traceTo(state)));
    }

    private List<String> traceTo(W state) {
        List<String> steps = new ArrayList<>();
        for (W current = state; current != null; current = current.previous()) {
            steps.add(current.nowMicros() / 1000 + " ms: " + current.step());
        }
        Collections.reverse(steps);
        return steps;
    }
}
