package loadbalancer.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;

/**
 * Validates the size lines of a chunked body (RFC 9112, section 7.1) before Netty's decoder reads
 * them. Netty adds up a size in 32 bits, so that a longer one loses its first digits, and ends a
 * size at any control character. Follows the body by the bytes that the decoder consumes. Confined
 * to the event loop.
 */
final class ChunkedBodyValidator {
    /** The maximum length of a size line with its extensions and its line end. */
    static final int MAX_SIZE_LINE_BYTES = 4_096;

    private static final int HEX_RADIX = 16;
    private static final int CRLF_BYTES = 2;
    private static final int NOT_FOUND = -1;

    private enum State {
        /** No chunked body is being decoded. */
        INACTIVE,
        /** The next byte is the first one of a size line. */
        SIZE_LINE,
        /** A size line has been validated; the bytes of it and its chunk are decoded. */
        CHUNK,
        /** The last chunk's size line has been validated; the trailers are decoded. */
        TRAILERS
    }

    private State state = State.INACTIVE;
    // The bytes of the size line, the chunk and its line end that have not been decoded yet.
    private long undecodedChunkBytes;
    // The bytes of an incomplete size line that contain no line end.
    private int searchedBytes;

    /** Records that the head of a message with a chunked body is complete. */
    void onBodyStart() {
        state = State.SIZE_LINE;
        searchedBytes = 0;
    }

    /** Records that the body is complete or has failed. */
    void onBodyEnd() {
        state = State.INACTIVE;
    }

    boolean isActive() {
        return state != State.INACTIVE;
    }

    /**
     * Validates the size line that {@code input} begins with, if that is what follows.
     *
     * @return whether the decoder may read; false if the size line is incomplete
     * @throws FramingException if the size line is malformed, too long, or names a size that does
     *     not fit into 31 bits
     */
    boolean mayDecode(ByteBuf input) {
        if (state != State.SIZE_LINE) {
            return true;
        }
        int start = input.readerIndex();
        int lineFeed = findLineFeed(input);
        int lineBytes = lineFeed == NOT_FOUND ? input.readableBytes() : lineFeed + 1 - start;
        if (lineBytes > MAX_SIZE_LINE_BYTES) {
            throw new FramingException("chunk size line too long");
        }
        if (lineFeed == NOT_FOUND) {
            searchedBytes = lineBytes;
            return false;
        }
        searchedBytes = 0;
        if (lineFeed == start || input.getByte(lineFeed - 1) != '\r') {
            throw new FramingException("chunk size line does not end with CR LF");
        }
        onSizeLine(lineBytes, parseSize(input, start, lineFeed - 1));
        return true;
    }

    private int findLineFeed(ByteBuf input) {
        int from = input.readerIndex() + searchedBytes;
        return input.forEachByte(from, input.writerIndex() - from, ByteProcessor.FIND_LF);
    }

    private void onSizeLine(int lineBytes, long size) {
        if (size == 0) {
            state = State.TRAILERS;
        } else {
            state = State.CHUNK;
            undecodedChunkBytes = lineBytes + size + CRLF_BYTES;
        }
    }

    /** Records that the decoder has consumed bytes of the body. */
    void onConsumed(int bytes) {
        if (state == State.CHUNK) {
            undecodedChunkBytes -= bytes;
            if (undecodedChunkBytes == 0) {
                state = State.SIZE_LINE;
            }
        }
    }

    private static long parseSize(ByteBuf line, int start, int end) {
        long size = 0;
        int index = start;
        while (index < end && isHexDigit(line.getByte(index))) {
            size = size * HEX_RADIX + Character.digit(line.getByte(index), HEX_RADIX);
            if (size > Integer.MAX_VALUE) {
                throw new FramingException("chunk size too large");
            }
            index++;
        }
        if (index == start) {
            throw new FramingException("no chunk size");
        }
        validateExtensions(line, skipBlanks(line, index, end), end);
        return size;
    }

    private static boolean isHexDigit(byte character) {
        return Character.digit(character, HEX_RADIX) >= 0;
    }

    private static int skipBlanks(ByteBuf line, int start, int end) {
        int index = start;
        while (index < end && isBlank(line.getByte(index))) {
            index++;
        }
        return index;
    }

    private static boolean isBlank(byte character) {
        return character == ' ' || character == '\t';
    }

    // Extensions are dropped. Their end must be certain: a quoted one must not go on after the
    // line.
    private static void validateExtensions(ByteBuf line, int start, int end) {
        if (start < end && line.getByte(start) != ';') {
            throw new FramingException("chunk size followed by other characters");
        }
        boolean quoted = false;
        for (int index = start; index < end; index++) {
            byte character = line.getByte(index);
            if (Character.isISOControl(character & 0xff) && character != '\t') {
                throw new FramingException("control character in a chunk extension");
            }
            if (quoted && character == '\\') {
                index++;
            } else if (character == '"') {
                quoted = !quoted;
            }
        }
        if (quoted) {
            throw new FramingException("unterminated string in a chunk extension");
        }
    }
}
