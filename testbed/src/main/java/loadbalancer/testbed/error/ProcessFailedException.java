package loadbalancer.testbed.error;

import java.io.IOException;

/** Thrown if a process can't be started, or does not run or end as expected. */
public final class ProcessFailedException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception; {@code message} is one line that names the process. */
    public ProcessFailedException(String message) {
        super(message);
    }

    /** Creates an exception with the reason why a process could not be started or awaited. */
    public ProcessFailedException(Throwable cause) {
        super(cause);
    }
}
