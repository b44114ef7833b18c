package loadbalancer.discovery;

import loadbalancer.config.EndpointList;
import loadbalancer.routing.api.EndpointListKind;

/**
 * Receives endpoint lists and failures from {@link DiscoveryClient}. All methods are called on the
 * event loop.
 */
public interface EndpointListListener {
    /**
     * Handles an endpoint list that discovery has sent.
     *
     * @param kind {@code COMPLETE} or {@code DELTA}
     */
    void onEndpointListUpdate(EndpointListKind kind, EndpointList endpointList);

    /**
     * Handles a poll that failed, or a watch that ended without being cancelled. Called in poll
     * mode only.
     */
    void onDiscoveryFailed();
}
