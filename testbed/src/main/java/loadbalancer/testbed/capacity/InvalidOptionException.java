package loadbalancer.testbed.capacity;

import loadbalancer.testbed.error.InvalidInputException;

/** Thrown if an option of the command line is invalid, alone or in combination with others. */
final class InvalidOptionException extends InvalidInputException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param option the name of the option, including the dashes
     */
    InvalidOptionException(String option, String problem) {
        super(option + ": " + problem);
    }
}
