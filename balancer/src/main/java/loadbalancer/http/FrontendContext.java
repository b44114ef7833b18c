package loadbalancer.http;

import io.netty.channel.EventLoop;
import loadbalancer.admin.EventLog;
import loadbalancer.proxy.PeerMemory;

/**
 * The objects that all client connections of one {@link HttpFrontend} share.
 *
 * @param memory the limit on the memory of all clients and upstreams together
 */
record FrontendContext(
        EventLoop loop,
        ServingState servingState,
        ClientConnections connections,
        RequestProcessor requestProcessor,
        EventLog events,
        PeerMemory memory) {}
