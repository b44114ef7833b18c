package loadbalancer.config;

/** A document that is not an endpoint list in discovery's form; the message names the fault. */
public final class InvalidEndpointListException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    InvalidEndpointListException(String problem) {
        super(problem);
    }

    InvalidEndpointListException(String problem, Throwable cause) {
        super(problem, cause);
    }
}
