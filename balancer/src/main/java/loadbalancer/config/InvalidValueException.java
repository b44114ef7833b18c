package loadbalancer.config;

/** Thrown when a text can't be parsed as the expected type. The message quotes the text. */
public final class InvalidValueException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    InvalidValueException(String expected, String text) {
        super("not " + expected + ": '" + text + "'");
    }
}
