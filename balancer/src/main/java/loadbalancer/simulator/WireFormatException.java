package loadbalancer.simulator;

/** What is wrong with the input, in one line that names the place. */
public final class WireFormatException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireFormatException(String message) {
        super(message);
    }
}
