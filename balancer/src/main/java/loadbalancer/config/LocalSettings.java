package loadbalancer.config;

import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Settings of the load balancer itself, which the platform's configuration does not have: a TOML
 * file that {@code TANSYFERRY_SETTINGS} names, and environment variables that override it. Without
 * either each setting has its default. A file with errors is rejected as a whole, and all errors
 * are reported at once. Immutable.
 */
public final class LocalSettings {
    private static final String FILE_VARIABLE = "TANSYFERRY_SETTINGS";
    private static final String ON = "on";
    private static final String OFF = "off";

    /** The settings, in the order of the table in {@code docs/settings.md}. */
    public enum Setting {
        /** Whether balancers detect each other's failure. */
        MEMBERSHIP_ENABLED(
                "membership.on",
                "TANSYFERRY_MEMBERSHIP",
                ValueType.BOOLEAN,
                OFF,
                "SWIM membership: balancers detect which of them are alive"),
        /** Whether leases are held; needs membership. */
        LEASES_ENABLED(
                "duties.on",
                "TANSYFERRY_DUTIES",
                ValueType.BOOLEAN,
                OFF,
                "leases for work that one balancer does at a time; needs `membership.on`"),
        /** Whether requests fail over to other zones as a whole. */
        ZONE_FAILOVER_ENABLED(
                "zones.on",
                "TANSYFERRY_ZONES",
                ValueType.BOOLEAN,
                OFF,
                "zone failover: a lost zone is ejected as a whole, and its traffic ramps up"
                        + " again in steps"),
        /** Where state that survives a crash is stored. */
        STATE_DIRECTORY(
                "state.dir",
                "TANSYFERRY_STATE_DIR",
                ValueType.DIRECTORY,
                "",
                "directory of this balancer alone, for state that survives a crash; none: no"
                        + " state is stored"),
        /** Least time between two snapshots. */
        SNAPSHOT_INTERVAL_MS(
                "state.every_ms",
                "1000",
                100,
                60_000,
                "least time between two snapshots of the endpoint list");

        private static final String NO_VARIABLE = "";

        private final String key;
        private final String environmentVariable;
        private final ValueType type;
        private final String defaultValue;
        private final long min;
        private final long max;
        private final String description;

        /** A setting without bounds that a variable overrides. */
        Setting(
                String key,
                String environmentVariable,
                ValueType type,
                String defaultValue,
                String description) {
            this(key, environmentVariable, type, defaultValue, 0, 0, description);
        }

        /** A duration that only the file sets, from {@code min} to {@code max} ms. */
        Setting(String key, String defaultValue, long min, long max, String description) {
            this(key, NO_VARIABLE, ValueType.MILLISECONDS, defaultValue, min, max, description);
        }

        Setting(
                String key,
                String environmentVariable,
                ValueType type,
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

        String key() {
            return key;
        }

        ValueType type() {
            return type;
        }

        /** What is wrong with a value as a variable or the file gives it; empty if nothing is. */
        Optional<String> problemWith(String value) {
            return switch (type) {
                case BOOLEAN ->
                        value.equals(ON) || value.equals(OFF)
                                ? Optional.empty()
                                : Optional.of("neither on nor off: '" + value + "'");
                case DIRECTORY ->
                        isValidPath(value)
                                ? Optional.empty()
                                : Optional.of("no path: '" + value + "'");
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

        private String markdownRow() {
            return String.format(
                    Locale.ROOT,
                    "| `%s` | %s | %s | %s | %s | %s |%n",
                    key,
                    environmentVariable.isEmpty() ? "-" : "`" + environmentVariable + "`",
                    type.unit,
                    shownDefault(),
                    type == ValueType.MILLISECONDS ? min + " to " + max : "-",
                    description);
        }

        private String shownDefault() {
            if (defaultValue.isEmpty()) {
                return "none";
            }
            return type == ValueType.BOOLEAN ? "false" : defaultValue;
        }
    }

    /** The type of a setting's value. */
    enum ValueType {
        BOOLEAN("true, false"),
        DIRECTORY("path"),
        MILLISECONDS("ms");

        private final String unit;

        ValueType(String unit) {
            this.unit = unit;
        }
    }

    // As a variable would give them
    private final Map<Setting, String> values;

    private LocalSettings(Map<Setting, String> values) {
        this.values = values;
    }

    /**
     * Reads the file that {@code environment} names, and the variables that override it.
     *
     * @throws InvalidConfigException with all errors in one line
     */
    static LocalSettings read(Map<String, String> environment) {
        Map<Setting, String> values = new EnumMap<>(Setting.class);
        List<String> errors = new ArrayList<>();
        for (Setting setting : Setting.values()) {
            values.put(setting, setting.defaultValue);
        }
        String file = environment.getOrDefault(FILE_VARIABLE, "");
        if (!file.isBlank()) {
            LocalSettingsParser.Result parsed = LocalSettingsParser.parse(file);
            values.putAll(parsed.values());
            errors.addAll(parsed.errors());
        }
        applyVariables(environment, values, errors);
        LocalSettings settings = new LocalSettings(values);
        if (settings.isEnabled(Setting.LEASES_ENABLED)
                && !settings.isEnabled(Setting.MEMBERSHIP_ENABLED)) {
            errors.add("duties are on without membership, by which they go");
        }
        if (!errors.isEmpty()) {
            throw new InvalidConfigException(String.join("; ", errors));
        }
        return settings;
    }

    private static void applyVariables(
            Map<String, String> environment, Map<Setting, String> values, List<String> errors) {
        for (Setting setting : Setting.values()) {
            String variable = setting.environmentVariable;
            String value = variable.isEmpty() ? "" : environment.getOrDefault(variable, "");
            if (value.isBlank()) {
                continue;
            }
            Optional<String> problem = setting.problemWith(value);
            if (problem.isPresent()) {
                errors.add(variable + ": " + problem.get());
            } else {
                values.put(setting, value);
            }
        }
    }

    /** How a variable gives a boolean. */
    static String booleanText(boolean value) {
        return value ? ON : OFF;
    }

    /** Whether a boolean setting is on. */
    public boolean isEnabled(Setting setting) {
        return values.get(setting).equals(ON);
    }

    /** The path of a directory setting; empty if none is set. */
    public Optional<Path> directory(Setting setting) {
        String path = values.get(setting);
        return path.isBlank() ? Optional.empty() : Optional.of(Path.of(path));
    }

    /** The value of a duration setting, in ms. */
    public long milliseconds(Setting setting) {
        return Long.parseLong(values.get(setting));
    }

    /** The keys of the settings that differ in {@code other}, in the table's order. */
    public List<String> changedKeys(LocalSettings other) {
        return Arrays.stream(Setting.values())
                .filter(setting -> !values.get(setting).equals(other.values.get(setting)))
                .map(Setting::key)
                .toList();
    }

    /** The table of all settings in {@code docs/settings.md}. */
    static String markdownTable() {
        StringBuilder table = new StringBuilder();
        table.append("| setting | variable | unit | default | bounds | meaning |\n");
        table.append("| --- | --- | --- | --- | --- | --- |\n");
        for (Setting setting : Setting.values()) {
            table.append(setting.markdownRow());
        }
        return table.toString();
    }
}
