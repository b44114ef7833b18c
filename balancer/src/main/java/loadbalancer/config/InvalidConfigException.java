package loadbalancer.config;

/**
 * Thrown when the configuration can't be used. The message is one line for operators that names the
 * file or variable, the field and the error.
 */
public final class InvalidConfigException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    InvalidConfigException(String message) {
        super(message);
    }

    InvalidConfigException(String message, Throwable cause) {
        super(message, cause);
    }
}
