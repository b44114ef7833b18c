package loadbalancer.lease;

/**
 * Thrown if an argument is out of range. The message contains the name of the argument, its value
 * and the range.
 */
public final class InvalidLeaseArgumentException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    private InvalidLeaseArgumentException(String message) {
        super(message);
    }

    /**
     * Checks an argument.
     *
     * @param valid whether {@code value} is in range
     * @param range the permitted values, in words
     * @throws InvalidLeaseArgumentException if {@code valid} is false
     */
    static void require(boolean valid, String name, long value, String range) {
        if (!valid) {
            throw new InvalidLeaseArgumentException(name + " is " + value + ", must be " + range);
        }
    }
}
