package loadbalancer.recovery;

/**
 * Thrown when a field of a stored policy snapshot is missing, has the wrong type or is out of
 * range.
 */
final class MalformedPolicySnapshotException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    private final String field;

    /**
     * Creates an exception.
     *
     * @param field key of the JSON field
     * @param problem what is wrong with its value, the message of the exception
     */
    MalformedPolicySnapshotException(String field, String problem) {
        super(problem);
        this.field = field;
    }

    /** Returns the key of the JSON field. */
    String field() {
        return field;
    }
}
