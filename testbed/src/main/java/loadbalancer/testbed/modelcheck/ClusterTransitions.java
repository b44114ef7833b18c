package loadbalancer.testbed.modelcheck;

import java.util.List;

/**
 * The transitions of a model: its initial state, and the successors of each state, one for each
 * possible event. Message events are common to all models: a message in flight may arrive, be lost,
 * or arrive and remain in flight as a duplicate. Loss and duplication are faults.
 *
 * @param <S> type of the model's states
 */
interface ClusterTransitions<S extends StateSpaceSearch.State<S>> {
    /**
     * Returns the state in which all processes have just started.
     *
     * @param maxFaults maximum number of faults on a path from this state
     */
    S initialState(int maxFaults);

    /** Returns the successors, whose order determines which states a seed visits. */
    List<S> successors(S state);

    /**
     * Returns whether the message at the index in flight can arrive now. The recipient may have
     * crashed.
     */
    boolean canArrive(S state, int index);

    /**
     * Returns the state after the message arrives.
     *
     * @param duplicated whether the message also remains in flight, which is a fault
     */
    S deliver(S state, int index, boolean duplicated);

    /** Returns the state after the message is lost, which is a fault. */
    S lose(S state, int index);

    /** Adds the successors that result from message events. */
    default void addMessageEvents(S state, int messageCount, List<S> successors) {
        for (int index = 0; index < messageCount; index++) {
            boolean canArrive = canArrive(state, index);
            if (canArrive) {
                successors.add(deliver(state, index, false));
            }
            if (state.remainingFaults() > 0) {
                successors.add(lose(state, index));
                if (canArrive) {
                    successors.add(deliver(state, index, true));
                }
            }
        }
    }

    /** Returns the description of a message's arrival for the trace. */
    static String describeArrival(boolean duplicated) {
        return duplicated ? " arrives, with a duplicate left in flight" : " arrives";
    }
}
