package loadbalancer.testbed.error;

import java.io.IOException;

/** Thrown if a required file is missing or has invalid content. */
public final class InvalidFileException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception; {@code message} is one line that names the file. */
    public InvalidFileException(String message) {
        super(message);
    }

    /** Creates an exception with a cause; {@code message} is one line that names the file. */
    public InvalidFileException(String message, Throwable cause) {
        super(message, cause);
    }
}
