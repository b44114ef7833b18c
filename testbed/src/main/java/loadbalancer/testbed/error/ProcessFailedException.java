package loadbalancer.testbed.error;

import java.io.IOException;

/** A process could not be started, or did not run or end as expected. */
public final class ProcessFailedException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates the exception; {@code message} is one line that names the process. */
    public ProcessFailedException(String message) {
        super(message);
    }

    /** Creates the exception for a process that could not be started or awaited. */
    public ProcessFailedException(Throwable cause) {
        super(cause);
    }
}
