package loadbalancer.config;

/** Thrown when a text is not an address literal with a port, such as {@code 10.0.0.1:8080}. */
public final class InvalidAddressException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    InvalidAddressException(String expected, String text) {
        super("not " + expected + ": '" + text + "'");
    }
}
