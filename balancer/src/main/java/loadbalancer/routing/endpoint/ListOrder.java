package loadbalancer.routing.endpoint;

import java.util.Collections;
import java.util.Comparator;
import java.util.List;

/** Order of the listed endpoints: the order in which they first appeared in endpoint lists. */
final class ListOrder {
    static final Comparator<EndpointState> COMPARATOR =
            Comparator.comparingLong(EndpointState::listPosition);

    private ListOrder() {}

    /** Returns the index of an endpoint in an ordered list, or the index to insert it at. */
    static int indexOf(List<EndpointState> ordered, EndpointState endpoint) {
        int lastIndex = ordered.size() - 1;
        // Handles the most frequent case, a new endpoint at the end, without a search.
        if (lastIndex < 0 || ordered.get(lastIndex).listPosition() < endpoint.listPosition()) {
            return lastIndex + 1;
        }
        int index = Collections.binarySearch(ordered, endpoint, COMPARATOR);
        return index < 0 ? -index - 1 : index;
    }
}
