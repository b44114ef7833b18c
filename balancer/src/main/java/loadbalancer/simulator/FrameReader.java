package loadbalancer.simulator;

import java.io.BufferedReader;
import java.io.IOException;

/** Reads the frames of the simulator's wire and counts its lines. Not thread-safe. */
final class FrameReader {
    private final BufferedReader input;
    private long lineNumber;

    /** {@code input} stays its caller's to close. */
    FrameReader(BufferedReader input) {
        this.input = input;
    }

    /** The next frame, or null at the end of the input. */
    WireFrame next() throws IOException {
        String text = input.readLine();
        lineNumber++;
        return text == null ? null : new WireFrame(lineNumber, text);
    }

    /** The exception for a fault of the line that was asked for last, be it beyond the end. */
    WireFormatException malformed(String message, String field, String problem) {
        return new WireFormatException(lineNumber, message, field, problem);
    }
}
