package loadbalancer.testbed.error;

import java.io.IOException;

/** Thrown if a task on an event loop fails or is not executed in time. */
public final class EventLoopException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with the failure of the task, or the timeout, as its cause. */
    public EventLoopException(Throwable cause) {
        super(cause);
    }
}
