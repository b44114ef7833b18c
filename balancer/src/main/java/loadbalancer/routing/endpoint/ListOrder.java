package loadbalancer.routing.endpoint;

import java.util.Collections;
import java.util.Comparator;
import java.util.List;

/** The order of listed endpoints: that in which the endpoint lists first named them. */
final class ListOrder {
    static final Comparator<EndpointState> COMPARATOR =
            Comparator.comparingLong(EndpointState::listPosition);

    private ListOrder() {}

    /** Index at which an ordered list holds an endpoint, or would have to. */
    static int indexOf(List<EndpointState> ordered, EndpointState endpoint) {
        int lastIndex = ordered.size() - 1;
        // Most often it belongs at the end
        if (lastIndex < 0 || ordered.get(lastIndex).listPosition() < endpoint.listPosition()) {
            return lastIndex + 1;
        }
        int index = Collections.binarySearch(ordered, endpoint, COMPARATOR);
        return index < 0 ? -index - 1 : index;
    }
}
