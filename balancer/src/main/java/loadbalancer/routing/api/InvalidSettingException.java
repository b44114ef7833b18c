package loadbalancer.routing.api;

/** A setting of the routing policy has a value that it cannot have. */
public final class InvalidSettingException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    private final String setting;

    /**
     * An exception whose message names the setting and its value.
     *
     * @param setting the name of the setting, as the pages of the operators give it
     * @param value the value that was refused
     */
    public InvalidSettingException(String setting, Object value) {
        super("impossible " + setting + ": " + value);
        this.setting = setting;
    }

    /** The name of the setting, as the pages of the operators give it. */
    public String setting() {
        return setting;
    }
}
