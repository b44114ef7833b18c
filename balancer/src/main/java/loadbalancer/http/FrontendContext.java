package loadbalancer.http;

import io.netty.channel.EventLoop;
import loadbalancer.admin.EventLog;
import loadbalancer.proxy.BodyRelay;

/**
 * The objects that all client connections of one {@link HttpFrontend} share.
 *
 * @param bufferBudget the limit on the bytes that are buffered of all streamed bodies together
 * @param requestMemory the limit on the memory of all buffered requests together
 */
record FrontendContext(
        EventLoop loop,
        ServingState servingState,
        ClientConnections connections,
        RequestProcessor requestProcessor,
        EventLog events,
        BodyRelay.BufferBudget bufferBudget,
        RequestMemoryBudget requestMemory) {}
