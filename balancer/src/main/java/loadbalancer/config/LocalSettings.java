package loadbalancer.config;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
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

    // As a variable would give them
    private final Map<LocalSetting, String> values;

    private LocalSettings(Map<LocalSetting, String> values) {
        this.values = values;
    }

    /**
     * Reads the file that {@code environment} names, and the variables that override it.
     *
     * @throws InvalidConfigException with all errors in one line
     */
    static LocalSettings read(Map<String, String> environment) {
        Map<LocalSetting, String> values = new EnumMap<>(LocalSetting.class);
        List<String> errors = new ArrayList<>();
        for (LocalSetting setting : LocalSetting.values()) {
            values.put(setting, setting.defaultValue());
        }
        String file = environment.getOrDefault(FILE_VARIABLE, "");
        if (!file.isBlank()) {
            LocalSettingsParser.Result parsed = LocalSettingsParser.parse(file);
            values.putAll(parsed.values());
            errors.addAll(parsed.errors());
        }
        applyVariables(environment, values, errors);
        LocalSettings settings = new LocalSettings(values);
        if (settings.isEnabled(LocalSetting.LEASES_ENABLED)
                && !settings.isEnabled(LocalSetting.MEMBERSHIP_ENABLED)) {
            errors.add("duties are on without membership, by which they go");
        }
        if (!errors.isEmpty()) {
            throw new InvalidConfigException(String.join("; ", errors));
        }
        return settings;
    }

    private static void applyVariables(
            Map<String, String> environment,
            Map<LocalSetting, String> values,
            List<String> errors) {
        for (LocalSetting setting : LocalSetting.values()) {
            Optional<String> variable = setting.environmentVariable();
            Optional<String> value = variable.map(environment::get).filter(text -> !text.isBlank());
            Optional<String> problem = value.flatMap(setting::problemWith);
            if (problem.isPresent()) {
                errors.add(variable.orElseThrow() + ": " + problem.get());
            } else {
                value.ifPresent(text -> values.put(setting, text));
            }
        }
    }

    /** Whether a boolean setting is on. */
    public boolean isEnabled(LocalSetting setting) {
        return LocalSetting.parseBoolean(values.get(setting));
    }

    /** The path of a directory setting; empty if none is set. */
    public Optional<Path> directory(LocalSetting setting) {
        String path = values.get(setting);
        return path.isBlank() ? Optional.empty() : Optional.of(Path.of(path));
    }

    /** The value of a duration setting, in ms. */
    public long milliseconds(LocalSetting setting) {
        return Long.parseLong(values.get(setting));
    }

    /** The keys of the settings that differ in {@code other}, in their order. */
    public List<String> changedKeys(LocalSettings other) {
        return Arrays.stream(LocalSetting.values())
                .filter(setting -> !values.get(setting).equals(other.values.get(setting)))
                .map(LocalSetting::key)
                .toList();
    }
}
