package loadbalancer.discovery;

import io.netty.handler.codec.json.JsonObjectDecoder;

/**
 * Splits the body of a response into endpoint lists. Each list is one JSON object, on one or more
 * lines. Belongs to the pipeline of one call, on the event loop.
 */
final class EndpointListFrameDecoder extends JsonObjectDecoder {
    private static final int MAX_LIST_BYTES = 4 << 20;

    EndpointListFrameDecoder() {
        super(MAX_LIST_BYTES);
    }

    /** Returns whether no part of an incomplete list is buffered. */
    boolean isBetweenLists() {
        return actualReadableBytes() == 0;
    }
}
