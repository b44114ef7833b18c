package loadbalancer.config;

import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The program's own settings, of which the platform's configuration knows nothing: a TOML file that
 * {@code TANSYFERRY_SETTINGS} names, and variables that win over it. Without either all is as it
 * was before there were any. A file with faults is refused as a whole, and all its faults are told
 * at once.
 */
public final class LocalSettings {
    /** What may be set; the order is that of the documents' table. */
    public enum Setting {
        MEMBERSHIP_ENABLED(
                "membership.on",
                "TANSYFERRY_MEMBERSHIP",
                ValueType.BOOLEAN,
                "off",
                0,
                0,
                "balancers tell each other who is present"),
        LEASES_ENABLED(
                "duties.on",
                "TANSYFERRY_DUTIES",
                ValueType.BOOLEAN,
                "off",
                0,
                0,
                "what only one of them does at a time; needs `membership.on`"),
        ZONE_FAILOVER_ENABLED(
                "zones.on",
                "TANSYFERRY_ZONES",
                ValueType.BOOLEAN,
                "off",
                0,
                0,
                "a lost zone is left as a whole, and met again in steps"),
        STATE_DIRECTORY(
                "state.dir",
                "TANSYFERRY_STATE_DIR",
                ValueType.DIRECTORY,
                "",
                0,
                0,
                "a folder of this balancer's own, for what outlives a crash; none: nothing is kept"),
        SNAPSHOT_INTERVAL_MS(
                "state.every_ms",
                null,
                ValueType.MILLISECONDS,
                "1000",
                100,
                60_000,
                "least time between two snapshots of the list");

        final String key;
        // Null: the file only
        final String environmentVariable;
        final ValueType type;
        final String defaultValue;
        final long min;
        final long max;
        final String description;

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
    }

    /** How a value is written. */
    enum ValueType {
        BOOLEAN("true, false"),
        DIRECTORY("path"),
        MILLISECONDS("ms");

        final String unit;

        ValueType(String unit) {
            this.unit = unit;
        }
    }

    private final Map<Setting, String> values = new EnumMap<>(Setting.class);
    private final List<String> errors = new ArrayList<>();

    private LocalSettings() {}

    /**
     * Reads what the environment names and says.
     *
     * @throws InvalidConfigException with all that is wrong, in one line
     */
    static LocalSettings read(Map<String, String> environment) {
        LocalSettings settings = new LocalSettings();
        for (Setting setting : Setting.values()) {
            settings.values.put(setting, setting.defaultValue);
        }
        String file = environment.getOrDefault("TANSYFERRY_SETTINGS", "");
        if (!file.isBlank()) {
            LocalSettingsParser.read(file, settings::apply, settings.errors::add);
        }
        for (Setting setting : Setting.values()) {
            String variableValue =
                    setting.environmentVariable == null
                            ? ""
                            : environment.getOrDefault(setting.environmentVariable, "");
            if (!variableValue.isBlank()) {
                settings.apply(setting, variableValue, setting.environmentVariable);
            }
        }
        if (settings.isEnabled(Setting.LEASES_ENABLED)
                && !settings.isEnabled(Setting.MEMBERSHIP_ENABLED)) {
            settings.errors.add("duties are on without membership, by which they go");
        }
        if (!settings.errors.isEmpty()) {
            throw new InvalidConfigException(String.join("; ", settings.errors));
        }
        return settings;
    }

    // A value from some place; null: one of another type.
    private void apply(Setting setting, String value, String location) {
        String problem =
                value == null
                        ? expectation(setting)
                        : switch (setting.type) {
                            case BOOLEAN ->
                                    value.equals("on") || value.equals("off")
                                            ? null
                                            : "neither on nor off: '" + value + "'";
                            case DIRECTORY ->
                                    isValidPath(value) ? null : "no path: '" + value + "'";
                            case MILLISECONDS ->
                                    value.matches("\\d{1,9}")
                                                    && Long.parseLong(value) >= setting.min
                                                    && Long.parseLong(value) <= setting.max
                                            ? null
                                            : expectation(setting);
                        };
        if (problem != null) {
            errors.add(location + ": " + problem);
        } else {
            values.put(setting, value);
        }
    }

    private static String expectation(Setting setting) {
        return switch (setting.type) {
            case BOOLEAN -> "not true or false";
            case DIRECTORY -> "not a text that names a folder";
            case MILLISECONDS ->
                    "not a whole number of ms from " + setting.min + " to " + setting.max;
        };
    }

    private static boolean isValidPath(String text) {
        try {
            return Path.of(text) != null;
        } catch (InvalidPathException e) {
            return false;
        }
    }

    public boolean isEnabled(Setting setting) {
        return values.get(setting).equals("on");
    }

    /** Null where none is named. */
    public Path directory(Setting setting) {
        return values.get(setting).isBlank() ? null : Path.of(values.get(setting));
    }

    public long milliseconds(Setting setting) {
        return Long.parseLong(values.get(setting));
    }

    /** What others say differently, by their paths. */
    public List<String> changedKeys(LocalSettings other) {
        return Arrays.stream(Setting.values())
                .filter(setting -> !values.get(setting).equals(other.values.get(setting)))
                .map(setting -> setting.key)
                .toList();
    }

    /** All of them, as the documents show them. */
    static String markdownTable() {
        StringBuilder table = new StringBuilder();
        table.append("| setting | variable | unit | default | bounds | meaning |\n");
        table.append("| --- | --- | --- | --- | --- | --- |\n");
        for (Setting setting : Setting.values()) {
            table.append(
                    String.format(
                            Locale.ROOT,
                            "| `%s` | %s | %s | %s | %s | %s |%n",
                            setting.key,
                            setting.environmentVariable == null
                                    ? "-"
                                    : "`" + setting.environmentVariable + "`",
                            setting.type.unit,
                            setting.defaultValue.isEmpty()
                                    ? "none"
                                    : setting.type == ValueType.BOOLEAN
                                            ? "false"
                                            : setting.defaultValue,
                            setting.type == ValueType.MILLISECONDS
                                    ? setting.min + " to " + setting.max
                                    : "-",
                            setting.description));
        }
        return table.toString();
    }
}
