package loadbalancer.config;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import loadbalancer.routing.api.Endpoint;

/**
 * A list of upstream endpoints as discovery gave it; {@link EndpointListCodec} reads it. Immutable.
 *
 * @param revision discovery's version of the list, which a watch resumes from
 * @param complete whether these are all endpoints, or those that changed
 * @param entries the endpoints in discovery's order
 */
public record EndpointList(long revision, boolean complete, List<Entry> entries) {
    /**
     * One endpoint.
     *
     * @param endpoint the endpoint as the routing policy knows it
     * @param address where this balancer connects to it; empty only for a removed endpoint
     */
    public record Entry(Endpoint endpoint, Optional<InetSocketAddress> address) {
        /** An endpoint whose address is known. */
        public Entry(Endpoint endpoint, InetSocketAddress address) {
            this(endpoint, Optional.of(address));
        }
    }

    /** A complete list without endpoints, older than any of discovery's. */
    static EndpointList empty() {
        return new EndpointList(0, true, List.of());
    }

    /** The endpoints without their addresses, in the list's order. */
    public List<Endpoint> endpoints() {
        return entries.stream().map(Entry::endpoint).toList();
    }
}
