package loadbalancer.config;

import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Optional;

/**
 * A setting of the load balancer itself, with its names, its default and its valid values. Values
 * are texts as an environment variable would have them. The order is that of the table in {@code
 * docs/settings.md}.
 */
public enum LocalSetting {
    /** Whether balancers detect each other's failure. */
    MEMBERSHIP_ENABLED(
            "membership.on",
            "TANSYFERRY_MEMBERSHIP",
            false,
            "SWIM membership: balancers detect which of them are alive"),
    /** Whether leases are used, which requires membership. */
    LEASES_ENABLED(
            "duties.on",
            "TANSYFERRY_DUTIES",
            false,
            "leases for work that one balancer does at a time; needs `membership.on`"),
    /** Whether a lost zone is ejected as a whole, so that its traffic fails over to other zones. */
    ZONE_FAILOVER_ENABLED(
            "zones.on",
            "TANSYFERRY_ZONES",
            false,
            "zone failover: a lost zone is ejected as a whole, and its traffic ramps up"
                    + " again in steps"),
    /** Directory for state that survives a crash. */
    STATE_DIRECTORY(
            "state.dir",
            "TANSYFERRY_STATE_DIR",
            "directory of this balancer alone, for state that survives a crash; none: no"
                    + " state is stored"),
    /** Minimum time between two snapshots, in ms. */
    SNAPSHOT_INTERVAL_MS(
            "state.every_ms",
            1_000,
            100,
            60_000,
            "least time between two snapshots of the endpoint list");

    private static final String ON = "on";
    private static final String OFF = "off";
    private static final String NO_VARIABLE = "";
    private static final String NO_DIRECTORY = "";

    private final String key;
    private final String environmentVariable;
    private final Type type;
    private final String defaultValue;
    // Bounds of a duration, in ms.
    private final long min;
    private final long max;
    private final String description;

    /** The type of a setting's value. */
    enum Type {
        BOOLEAN,
        DIRECTORY,
        MILLISECONDS
    }

    /** Creates a boolean setting that a variable overrides. */
    LocalSetting(String key, String environmentVariable, boolean defaultValue, String description) {
        this(key, environmentVariable, Type.BOOLEAN, booleanText(defaultValue), 0, 0, description);
    }

    /** Creates a directory setting that a variable overrides and that has no default. */
    LocalSetting(String key, String environmentVariable, String description) {
        this(key, environmentVariable, Type.DIRECTORY, NO_DIRECTORY, 0, 0, description);
    }

    /** Creates a duration setting, from {@code min} to {@code max} ms, that only the file sets. */
    LocalSetting(String key, long defaultValue, long min, long max, String description) {
        this(
                key,
                NO_VARIABLE,
                Type.MILLISECONDS,
                Long.toString(defaultValue),
                min,
                max,
                description);
    }

    LocalSetting(
            String key,
            String environmentVariable,
            Type type,
            String defaultValue,
            long min,
            long max,
            String description) {
        this.key = key;
        this.environmentVariable = environmentVariable;
        this.type = type;
        this.defaultValue = defaultValue;
        this.min = min;
        this.max = max;
        this.description = description;
    }

    /** Returns the key in the file: the name of the table, a dot and the name within the table. */
    String key() {
        return key;
    }

    /** Returns the variable that overrides the file; empty if there is none. */
    Optional<String> environmentVariable() {
        return environmentVariable.equals(NO_VARIABLE)
                ? Optional.empty()
                : Optional.of(environmentVariable);
    }

    Type type() {
        return type;
    }

    String defaultValue() {
        return defaultValue;
    }

    /** Returns the minimum of a duration, in ms. */
    long min() {
        return min;
    }

    /** Returns the maximum of a duration, in ms. */
    long max() {
        return max;
    }

    /** Returns the description for {@code docs/settings.md}. */
    String description() {
        return description;
    }

    /** Returns the text for a boolean. */
    static String booleanText(boolean value) {
        return value ? ON : OFF;
    }

    /** Returns the boolean for a valid text. */
    static boolean parseBoolean(String value) {
        return value.equals(ON);
    }

    /** Returns what is wrong with a value; empty if it is valid. */
    Optional<String> problemWith(String value) {
        return switch (type) {
            case BOOLEAN ->
                    value.equals(ON) || value.equals(OFF)
                            ? Optional.empty()
                            : Optional.of("neither on nor off: '" + value + "'");
            case DIRECTORY ->
                    isValidPath(value)
                            ? Optional.empty()
                            : Optional.of("not a path: '" + value + "'");
            case MILLISECONDS ->
                    isWithinBounds(value) ? Optional.empty() : Optional.of(typeProblem());
        };
    }

    private boolean isWithinBounds(String value) {
        return value.matches("\\d{1,9}")
                && Long.parseLong(value) >= min
                && Long.parseLong(value) <= max;
    }

    private static boolean isValidPath(String value) {
        try {
            Path unused = Path.of(value);
            return true;
        } catch (InvalidPathException e) {
            return false;
        }
    }

    /** Returns the message for a value of the wrong type. */
    String typeProblem() {
        return switch (type) {
            case BOOLEAN -> "not true or false";
            case DIRECTORY -> "not a string with the path of a directory";
            case MILLISECONDS -> "not a whole number of ms from " + min + " to " + max;
        };
    }
}
