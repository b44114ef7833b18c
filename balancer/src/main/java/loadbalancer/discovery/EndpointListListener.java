package loadbalancer.discovery;

import loadbalancer.config.EndpointList;
import loadbalancer.routing.api.EndpointListKind;

/** Receives what discovery sends; called on the event loop. */
public interface EndpointListListener {
    /**
     * A list has come.
     *
     * @param kind {@code COMPLETE} or {@code DELTA}
     */
    void onEndpointListUpdate(EndpointListKind kind, EndpointList endpointList);

    /**
     * A poll or a watch that the routing policy asked for has ended without the response it was
     * for.
     */
    void onDiscoveryFailed();
}
