package loadbalancer.config;

/** Thrown when a setting of the platform is missing, malformed or out of range. */
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

    /** Returns the path of the setting, joined by dots, such as {@code Classes.0.GoalTime}. */
    public String path() {
        return path;
    }

    /** Returns what is wrong with the setting, with its bounds if it has any. */
    public String problem() {
        return problem;
    }
}
