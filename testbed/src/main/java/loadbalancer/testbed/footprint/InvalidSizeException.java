package loadbalancer.testbed.footprint;

import loadbalancer.testbed.error.InvalidInputException;

/** Thrown if a size at which a process is to be measured is invalid. */
public final class InvalidSizeException extends InvalidInputException {
    private static final long serialVersionUID = 1L;

    InvalidSizeException(String message) {
        super(message);
    }
}
