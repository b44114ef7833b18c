package loadbalancer.config;

/** A text that does not have the form of its value; the message quotes it. */
public final class InvalidValueException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    InvalidValueException(String expected, String text) {
        super("not " + expected + ": '" + text + "'");
    }
}
