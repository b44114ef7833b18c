package loadbalancer.routing.api;

/** A setting of the routing policy is out of its range. */
public final class InvalidSettingException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    private final String setting;

    /**
     * An exception whose message names the setting and its value.
     *
     * @param setting the name of the setting, as the pages of the operators give it
     * @param value the rejected value
     */
    public InvalidSettingException(String setting, Object value) {
        super("invalid " + setting + ": " + value);
        this.setting = setting;
    }

    /** The name of the setting, as the pages of the operators give it. */
    public String setting() {
        return setting;
    }
}
