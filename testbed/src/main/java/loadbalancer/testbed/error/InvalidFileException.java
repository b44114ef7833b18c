package loadbalancer.testbed.error;

import java.io.IOException;

/** A file that is required is missing or does not contain what it must. */
public final class InvalidFileException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates the exception; {@code message} is one line that names the file. */
    public InvalidFileException(String message) {
        super(message);
    }

    /** Creates the exception; {@code message} is one line that names the file. */
    public InvalidFileException(String message, Throwable cause) {
        super(message, cause);
    }
}
