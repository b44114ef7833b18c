package loadbalancer.config;

/** What is wrong with the configuration, in one line. */
public final class InvalidConfigException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    InvalidConfigException(String message) {
        super(message);
    }
}
