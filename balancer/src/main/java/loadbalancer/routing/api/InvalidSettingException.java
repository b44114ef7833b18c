package loadbalancer.routing.api;

/** Signals that a setting of the routing policy is out of its range. */
public final class InvalidSettingException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    private final String setting;

    /**
     * Creates an exception whose message contains the setting and its value.
     *
     * @param setting the name of the setting in the documentation for operators
     * @param value the rejected value
     */
    public InvalidSettingException(String setting, Object value) {
        super("invalid " + setting + ": " + value);
        this.setting = setting;
    }

    /** Returns the name of the setting in the documentation for operators. */
    public String setting() {
        return setting;
    }
}
