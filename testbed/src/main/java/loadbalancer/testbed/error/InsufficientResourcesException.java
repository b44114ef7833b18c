package loadbalancer.testbed.error;

import java.io.IOException;

/** Thrown if the machine or the JVM lacks resources that a measurement requires. */
public final class InsufficientResourcesException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception; {@code message} is one line that names the required resources. */
    public InsufficientResourcesException(String message) {
        super(message);
    }
}
