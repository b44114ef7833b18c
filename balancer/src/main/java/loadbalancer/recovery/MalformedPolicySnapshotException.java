package loadbalancer.recovery;

/** A stored policy snapshot has a field that is missing, of another type or out of range. */
final class MalformedPolicySnapshotException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    private final String field;

    /** {@code expectation} says what was found or would be right. */
    MalformedPolicySnapshotException(String field, String expectation) {
        super(expectation);
        this.field = field;
    }

    /** Key of the JSON field. */
    String field() {
        return field;
    }
}
