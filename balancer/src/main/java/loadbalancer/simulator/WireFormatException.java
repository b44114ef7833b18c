package loadbalancer.simulator;

/**
 * Thrown if input does not conform to the simulator's wire protocol. The message is one line that
 * names the line number, the protocol message and the field.
 */
public final class WireFormatException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireFormatException(long lineNumber, String messageName, String field, String problem) {
        super("line " + lineNumber + ": " + messageName + ": field " + field + ": " + problem);
    }
}
