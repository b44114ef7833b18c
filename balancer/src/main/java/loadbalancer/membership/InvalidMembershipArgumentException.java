package loadbalancer.membership;

/** A value given to this package is out of range; the message names it, its value and the range. */
public final class InvalidMembershipArgumentException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    private InvalidMembershipArgumentException(String message) {
        super(message);
    }

    /** Throws unless {@code valid}: {@code name} was {@code value} and has to be {@code range}. */
    static void require(boolean valid, String name, long value, String range) {
        if (!valid) {
            throw new InvalidMembershipArgumentException(
                    name + " is " + value + ", must be " + range);
        }
    }
}
