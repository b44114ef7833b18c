package loadbalancer.testbed.scenario;

/** Thrown if a fault's target selector is invalid. The message is the problem without location. */
public final class InvalidSelectorException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    InvalidSelectorException(String problem) {
        super(problem);
    }
}
