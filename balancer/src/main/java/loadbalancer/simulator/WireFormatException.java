package loadbalancer.simulator;

/** Input that breaks the simulator's wire format, in one line with the place of the fault. */
public final class WireFormatException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireFormatException(long lineNumber, String message, String field, String problem) {
        super("line " + lineNumber + ": " + message + ": field " + field + ": " + problem);
    }
}
