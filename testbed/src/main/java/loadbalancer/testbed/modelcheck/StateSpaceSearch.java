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
 * Visits the states that a model of some processes can reach. States with the same fingerprint are
 * visited once. {@link #explore} continues from the newest state as often as from a random one.
 * {@link #randomWalk} follows long paths from the initial state with occasional faults, to find
 * violations that appear only after a crash and several lease durations. An instance runs one
 * search and is used by one thread.
 *
 * @param <S> type of the model's states
 */
final class StateSpaceSearch<S extends StateSpaceSearch.State<S>> {
    // Average number of steps of a random walk per fault.
    private static final int STEPS_PER_FAULT = 8;

    private final ClusterTransitions<S> transitions;
    private final Model<S> model;
    private final Set<Long> visited = new HashSet<>();
    private long convergenceChecks;

    /** A state of all processes and of the messages between them. */
    interface State<S> {
        /** Returns the preceding state, or null for the initial state. */
        S previous();

        /** Returns the model's time in µs. */
        long nowMicros();

        /** Returns the number of faults that may still happen after this state. */
        int remainingFaults();

        /** Returns the description of the event that led to this state, for the trace. */
        String step();
    }

    /** Computes the fingerprints of states and checks the properties that must hold in them. */
    interface Model<S> {
        /** Returns a fingerprint; states with the same fingerprint count as the same state. */
        long fingerprint(S state);

        /**
         * Returns a description of the invariant that the step from one state to the next violates,
         * or an empty string if there is none.
         */
        String findViolation(S before, S state);

        /**
         * Returns a description of what does not converge if no fault follows the state, or an
         * empty string if everything converges.
         */
        String findConvergenceViolation(S state);
    }

    StateSpaceSearch(ClusterTransitions<S> transitions, Model<S> model) {
        this.transitions = transitions;
        this.model = model;
    }

    /**
     * Explores from the initial state until {@code maxStates} states have been visited or none is
     * left.
     *
     * @param maxFaults maximum number of faults on one path
     * @param convergenceCheckInterval convergence is checked from one in this many states
     */
    CheckResult explore(long maxStates, int maxFaults, int convergenceCheckInterval, long seed) {
        UniformRandomProvider random = RandomStreams.stream(seed, "explorer");
        List<S> frontier = new ArrayList<>(List.of(transitions.initialState(maxFaults)));
        while (!frontier.isEmpty() && visited.size() < maxStates) {
            S state = removeNewestOrRandom(frontier, random);
            for (S successor : transitions.successors(state)) {
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

    private S removeNewestOrRandom(List<S> frontier, UniformRandomProvider random) {
        int last = frontier.size() - 1;
        int chosen = random.nextBoolean() ? last : random.nextInt(last + 1);
        Collections.swap(frontier, chosen, last);
        return frontier.remove(last);
    }

    /**
     * Explores by random walks from the initial state. All successors of each state on a walk are
     * checked, not only the one from which the walk continues. The other parameters are those of
     * {@link #explore}.
     *
     * @param stepsPerWalk number of steps of one walk
     */
    CheckResult randomWalk(
            long maxStates,
            int maxFaults,
            int stepsPerWalk,
            int convergenceCheckInterval,
            long seed) {
        UniformRandomProvider random = RandomStreams.stream(seed, "walker");
        S start = transitions.initialState(maxFaults);
        while (visited.size() < maxStates) {
            S current = start;
            for (int i = 0; i < stepsPerWalk && visited.size() < maxStates; i++) {
                List<S> successors = transitions.successors(current);
                for (S successor : successors) {
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

    private Optional<CheckResult> visit(S before, S state, int convergenceCheckInterval) {
        return visited.add(model.fingerprint(state))
                ? check(before, state, convergenceCheckInterval)
                : Optional.empty();
    }

    private S chooseNext(S current, List<S> successors, UniformRandomProvider random) {
        List<S> withoutFault = new ArrayList<>();
        List<S> withFault = new ArrayList<>();
        for (S successor : successors) {
            (isFaultTransition(current, successor) ? withFault : withoutFault).add(successor);
        }
        boolean chooseFaultFree = withFault.isEmpty() || random.nextInt(STEPS_PER_FAULT) > 0;
        List<S> candidates = chooseFaultFree ? withoutFault : withFault;
        return candidates.get(random.nextInt(candidates.size()));
    }

    private boolean isFaultTransition(S before, S state) {
        return state.remainingFaults() < before.remainingFaults();
    }

    private Optional<CheckResult> check(S before, S state, int convergenceCheckInterval) {
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

    private List<String> traceTo(S state) {
        List<String> steps = new ArrayList<>();
        for (S current = state; current != null; current = current.previous()) {
            steps.add(current.nowMicros() / 1000 + " ms: " + current.step());
        }
        Collections.reverse(steps);
        return steps;
    }
}
