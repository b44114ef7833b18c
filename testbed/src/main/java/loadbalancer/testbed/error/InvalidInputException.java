package loadbalancer.testbed.error;

/** Input of the user is invalid. The message is one line that says what is wrong. */
public class InvalidInputException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    /** Creates the exception; {@code message} names the input and says what is wrong. */
    public InvalidInputException(String message) {
        super(message);
    }
}
