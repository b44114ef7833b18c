package loadbalancer.testbed.error;

/** Thrown if the user's input is invalid. The message is one line that describes the problem. */
public class InvalidInputException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception; {@code message} names the input and the problem. */
    public InvalidInputException(String message) {
        super(message);
    }
}
