package loadbalancer.upstream;

/** How far an attempt has come at its upstream. */
public enum AttemptProgress {
    /** Nothing of the request has been written. */
    NOT_STARTED("not sent"),
    /** Part of the request has been written. */
    SENDING("partly sent"),
    /** The whole request has been written, so that it may have run. */
    SENT("sent"),
    /** Part of the response has been received. */
    RESPONDING("response begun");

    private final String label;

    AttemptProgress(String label) {
        this.label = label;
    }

    /** Returns the text that the log shows. */
    public String label() {
        return label;
    }
}
