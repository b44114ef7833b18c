package loadbalancer.testbed.docfigures;

import loadbalancer.testbed.error.InvalidInputException;

/** A figure has no value: its expression is invalid, or it refers to a missing file or key. */
final class InvalidFigureException extends InvalidInputException {
    private static final long serialVersionUID = 1L;

    InvalidFigureException(String message) {
        super(message);
    }
}
