package loadbalancer.config;

/** Thrown when a document is not an endpoint list in discovery's form. The message says why. */
public final class InvalidEndpointListException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    InvalidEndpointListException(String problem) {
        super(problem);
    }

    InvalidEndpointListException(String problem, Throwable cause) {
        super(problem, cause);
    }
}
