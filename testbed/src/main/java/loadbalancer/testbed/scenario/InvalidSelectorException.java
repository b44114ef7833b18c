package loadbalancer.testbed.scenario;

/** A target selector of a fault is invalid; the message says why, without the location. */
public final class InvalidSelectorException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    InvalidSelectorException(String problem) {
        super(problem);
    }
}
