package loadbalancer.testbed.capacity;

import loadbalancer.testbed.error.InvalidInputException;

/** An option of the command line is invalid, by itself or with the others. */
final class InvalidOptionException extends InvalidInputException {
    private static final long serialVersionUID = 1L;

    /** Creates the exception; {@code option} is the name with its dashes. */
    InvalidOptionException(String option, String problem) {
        super(option + ": " + problem);
    }
}
