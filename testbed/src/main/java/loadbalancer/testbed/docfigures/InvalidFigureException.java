package loadbalancer.testbed.docfigures;

import loadbalancer.testbed.error.InvalidInputException;

/** A figure of a page has no value: its expression is invalid, or refers to what does not exist. */
final class InvalidFigureException extends InvalidInputException {
    private static final long serialVersionUID = 1L;

    InvalidFigureException(String message) {
        super(message);
    }
}
