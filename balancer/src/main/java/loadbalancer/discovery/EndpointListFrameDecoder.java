package loadbalancer.discovery;

import io.netty.handler.codec.json.JsonObjectDecoder;

/**
 * Splits the body of a response into endpoint lists: each is one JSON object, on one line or many.
 * Part of one call's pipeline, on the event loop.
 */
final class EndpointListFrameDecoder extends JsonObjectDecoder {
    private static final int MAX_LIST_BYTES = 4 << 20;

    EndpointListFrameDecoder() {
        super(MAX_LIST_BYTES);
    }

    /** Whether no part of an incomplete list is buffered. */
    boolean isBetweenLists() {
        return actualReadableBytes() == 0;
    }
}
