package loadbalancer.testbed.error;

import java.io.IOException;

/** The machine or the JVM does not have the resources that a measurement requires. */
public final class InsufficientResourcesException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates the exception; {@code message} is one line with what is required. */
    public InsufficientResourcesException(String message) {
        super(message);
    }
}
