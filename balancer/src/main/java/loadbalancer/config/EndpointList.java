package loadbalancer.config;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import loadbalancer.routing.api.Endpoint;

/**
 * A list of upstream endpoints from discovery, which {@link EndpointListCodec} decodes. Immutable.
 *
 * @param revision version of the list at discovery, from which a watch resumes
 * @param complete whether the list has all endpoints or only those that changed
 * @param entries the endpoints in discovery's order
 */
public record EndpointList(long revision, boolean complete, List<Entry> entries) {
    /**
     * One endpoint of a list.
     *
     * @param endpoint the endpoint as the routing policy sees it
     * @param address address to which the balancer connects; empty only for a removed endpoint
     */
    public record Entry(Endpoint endpoint, Optional<InetSocketAddress> address) {
        /** Creates an entry for an endpoint with a known address. */
        public Entry(Endpoint endpoint, InetSocketAddress address) {
            this(endpoint, Optional.of(address));
        }
    }

    /** Returns a complete list without endpoints, with a revision below those of discovery. */
    static EndpointList empty() {
        return new EndpointList(0, true, List.of());
    }

    /** Returns the endpoints without their addresses, in the order of the list. */
    public List<Endpoint> endpoints() {
        return entries.stream().map(Entry::endpoint).toList();
    }
}
