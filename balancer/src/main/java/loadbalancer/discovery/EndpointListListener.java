package loadbalancer.discovery;

import loadbalancer.config.EndpointList;
import loadbalancer.routing.api.EndpointListKind;

/** Receives what discovery sends; called on the event loop. */
@FunctionalInterface
public interface EndpointListListener {
    /**
     * A list has come, or discovery has failed.
     *
     * @param kind {@code COMPLETE} or {@code DELTA}, or {@code FAILED} where a poll or a watch that
     *     the routing policy asked for has ended without the response it was for
     * @param endpointList the list; null with {@code FAILED}
     */
    void onEndpointListUpdate(EndpointListKind kind, EndpointList endpointList);
}
