package loadbalancer.config;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Settings of the load balancer itself, which are not part of the platform's configuration. They
 * come from a TOML file that {@code TANSYFERRY_SETTINGS} names and from environment variables,
 * which override the file; a setting that neither gives has its default. Invalid settings are
 * rejected as a whole, and all errors are reported at once. Immutable.
 */
public final class LocalSettings {
    private static final String FILE_VARIABLE = "TANSYFERRY_SETTINGS";

    // Texts as an environment variable would have them.
    private final Map<LocalSetting, String> values;

    private LocalSettings(Map<LocalSetting, String> values) {
        this.values = values;
    }

    /**
     * Reads the file that {@code environment} names and the variables that override it.
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
            errors.add("duties.on requires membership.on");
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

    /** Returns whether a boolean setting is on. */
    public boolean isEnabled(LocalSetting setting) {
        return LocalSetting.parseBoolean(values.get(setting));
    }

    /** Returns the path of a directory setting; empty if it is not set. */
    public Optional<Path> directory(LocalSetting setting) {
        String path = values.get(setting);
        return path.isBlank() ? Optional.empty() : Optional.of(Path.of(path));
    }

    /** Returns the value of a duration setting, in ms. */
    public long milliseconds(LocalSetting setting) {
        return Long.parseLong(values.get(setting));
    }

    /** Returns the keys of the settings that differ from {@code other}, in their order. */
    public List<String> changedKeys(LocalSettings other) {
        return Arrays.stream(LocalSetting.values())
                .filter(setting -> !values.get(setting).equals(other.values.get(setting)))
                .map(LocalSetting::key)
                .toList();
    }
}
