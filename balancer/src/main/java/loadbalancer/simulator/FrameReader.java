package loadbalancer.simulator;

import java.io.BufferedReader;
import java.io.IOException;

/**
 * Reads the frames of the simulator's wire protocol one after another, and counts lines. Not
 * thread-safe.
 */
final class FrameReader {
    private final BufferedReader input;
    // Null before the first line and after the end of the input.
    private WireFrame currentFrame;
    private long lineNumber;

    /** Creates a reader of {@code input}, which the caller must close. */
    FrameReader(BufferedReader input) {
        this.input = input;
    }

    /**
     * Reads the next frame and makes it the current one. Returns false at the end of the input.
     *
     * @throws IOException if the input can't be read
     */
    boolean advance() throws IOException {
        String text = input.readLine();
        lineNumber++;
        currentFrame = text == null ? null : new WireFrame(lineNumber, text);
        return currentFrame != null;
    }

    /** Returns the frame read by the last {@link #advance}, or null if that returned false. */
    WireFrame current() {
        return currentFrame;
    }

    /**
     * Creates the exception for a fault in the line that {@link #advance} read last, or at the end
     * of the input.
     */
    WireFormatException malformed(String messageName, String field, String problem) {
        return new WireFormatException(lineNumber, messageName, field, problem);
    }
}
