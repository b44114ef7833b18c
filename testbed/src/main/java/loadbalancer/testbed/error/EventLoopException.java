package loadbalancer.testbed.error;

import java.io.IOException;

/** A task on an event loop has failed, or was not executed in time. */
public final class EventLoopException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates the exception. */
    public EventLoopException(Throwable cause) {
        super(cause);
    }
}
