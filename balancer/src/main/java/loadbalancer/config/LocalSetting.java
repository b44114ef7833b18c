package loadbalancer.config;

import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Optional;

/**
 * A setting of the load balancer itself: its names, its default and which values it may have.
 * Values are texts in the form of environment variables. The order is that of the table in {@code
 * docs/settings.md}.
 */
public enum LocalSetting {
    /** Whether balancers detect each other's failure. */
    MEMBERSHIP_ENABLED(
            "membership.on",
            "TANSYFERRY_MEMBERSHIP",
            false,
            "SWIM membership: balancers detect which of them are alive"),
    /** Whether leases are held; needs membership. */
    LEASES_ENABLED(
            "duties.on",
            "TANSYFERRY_DUTIES",
            false,
            "leases for work that one balancer does at a time; needs `membership.on`"),
    /** Whether requests fail over to other zones as a whole. */
    ZONE_FAILOVER_ENABLED(
            "zones.on",
            "TANSYFERRY_ZONES",
            false,
            "zone failover: a lost zone is ejected as a whole, and its traffic ramps up"
                    + " again in steps"),
    /** Where state that survives a crash is stored. */
    STATE_DIRECTORY(
            "state.dir",
            "TANSYFERRY_STATE_DIR",
            "directory of this balancer alone, for state that survives a crash; none: no"
                    + " state is stored"),
    /** Least time between two snapshots. */
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
    // Of a duration, in ms
    private final long min;
    private final long max;
    private final String description;

    /** The type of a setting's value. */
    enum Type {
        BOOLEAN,
        DIRECTORY,
        MILLISECONDS
    }

    /** A boolean that a variable overrides. */
    LocalSetting(String key, String environmentVariable, boolean defaultValue, String description) {
        this(key, environmentVariable, Type.BOOLEAN, booleanText(defaultValue), 0, 0, description);
    }

    /** A directory that a variable overrides, none by default. */
    LocalSetting(String key, String environmentVariable, String description) {
        this(key, environmentVariable, Type.DIRECTORY, NO_DIRECTORY, 0, 0, description);
    }

    /** A duration that only the file sets, from {@code min} to {@code max} ms. */
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

    /** Its key in the file: the name of its table, a dot and its name there. */
    String key() {
        return key;
    }

    /** The variable that overrides the file; empty if none does. */
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

    /** The least value of a duration, in ms. */
    long min() {
        return min;
    }

    /** The greatest value of a duration, in ms. */
    long max() {
        return max;
    }

    /** What it does, for {@code docs/settings.md}. */
    String description() {
        return description;
    }

    /** The value for a boolean. */
    static String booleanText(boolean value) {
        return value ? ON : OFF;
    }

    /** The boolean for a valid value. */
    static boolean parseBoolean(String value) {
        return value.equals(ON);
    }

    /** What is wrong with a value; empty if nothing is. */
    Optional<String> problemWith(String value) {
        return switch (type) {
            case BOOLEAN ->
                    value.equals(ON) || value.equals(OFF)
                            ? Optional.empty()
                            : Optional.of("neither on nor off: '" + value + "'");
            case DIRECTORY ->
                    isValidPath(value) ? Optional.empty() : Optional.of("no path: '" + value + "'");
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

    /** What is wrong with a value of another type. */
    String typeProblem() {
        return switch (type) {
            case BOOLEAN -> "not true or false";
            case DIRECTORY -> "not a text that names a folder";
            case MILLISECONDS -> "not a whole number of ms from " + min + " to " + max;
        };
    }
}
