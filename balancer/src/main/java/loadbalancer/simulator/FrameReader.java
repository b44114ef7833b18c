package loadbalancer.simulator;

import java.io.BufferedReader;
import java.io.IOException;

/**
 * Reads the frames of the simulator's wire, one after another, and counts its lines. Not
 * thread-safe.
 */
final class FrameReader {
    private final BufferedReader input;
    // Null before the first line, and from the end of the input on
    private WireFrame currentFrame;
    private long lineNumber;

    /** {@code input} stays its caller's to close. */
    FrameReader(BufferedReader input) {
        this.input = input;
    }

    /** Reads the next frame, which becomes the current one; false at the end of the input. */
    boolean advance() throws IOException {
        String text = input.readLine();
        lineNumber++;
        currentFrame = text == null ? null : new WireFrame(lineNumber, text);
        return currentFrame != null;
    }

    /** The frame that the last {@link #advance} read; only if it returned true. */
    WireFrame current() {
        return currentFrame;
    }

    /** The exception for a fault of the line that was asked for last, be it beyond the end. */
    WireFormatException malformed(String message, String field, String problem) {
        return new WireFormatException(lineNumber, message, field, problem);
    }
}
