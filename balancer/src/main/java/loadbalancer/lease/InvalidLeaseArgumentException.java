package loadbalancer.lease;

/** A value given to this package is out of range; the message names it, its value and the range. */
public final class InvalidLeaseArgumentException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    private InvalidLeaseArgumentException(String message) {
        super(message);
    }

    /** Throws unless {@code valid}: {@code name} was {@code value} and has to be {@code range}. */
    static void require(boolean valid, String name, long value, String range) {
        if (!valid) {
            throw new InvalidLeaseArgumentException(name + " is " + value + ", must be " + range);
        }
    }
}
