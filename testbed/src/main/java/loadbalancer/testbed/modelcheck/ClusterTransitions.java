package loadbalancer.testbed.modelcheck;

import java.util.List;

/**
 * The transitions of a model: its initial state, and from a state each state that one event leads
 * to. All models have the events of messages in common: each in flight may arrive, be lost, or
 * arrive and remain in flight as a duplicate. Loss and duplication are faults.
 *
 * @param <W> a state of the model
 */
interface ClusterTransitions<W extends StateSpaceSearch.State<W>> {
    /** The state in which all processes have just started, after which faults may happen. */
    W initialState(int maxFaults);

    /** The states that one event leads to; their order decides what a seed visits. */
    List<W> successors(W state);

    /** Whether the message at an index in flight can arrive now; its recipient may have crashed. */
    boolean canArrive(W state, int index);

    /** The message arrives; {@code duplicated}: by a fault it remains in flight as well. */
    W deliver(W state, int index, boolean duplicated);

    /** The message is lost by a fault. */
    W lose(W state, int index);

    /** Adds the successors by events of messages. */
    default void addMessageEvents(W state, int messageCount, List<W> successors) {
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

    /** Describes how a message arrives, for the trace. */
    static String arrival(boolean duplicated) {
        return duplicated ? " arrives, and will once more" : " arrives";
    }
}
