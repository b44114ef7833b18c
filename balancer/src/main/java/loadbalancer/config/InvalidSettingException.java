package loadbalancer.config;

/** A setting of the platform's configuration that is missing or out of its bounds. */
public final class InvalidSettingException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final String path;
    private final String problem;

    InvalidSettingException(String path, String problem) {
        super(path + ": " + problem);
        this.path = path;
        this.problem = problem;
    }

    InvalidSettingException(String path, Throwable cause) {
        super(path + ": " + cause.getMessage(), cause);
        this.path = path;
        this.problem = cause.getMessage();
    }

    /** The setting's path, joined by dots, such as {@code Classes.0.GoalTime}. */
    public String path() {
        return path;
    }

    /** What is wrong with the setting, and where it has bounds, what they are. */
    public String problem() {
        return problem;
    }
}
