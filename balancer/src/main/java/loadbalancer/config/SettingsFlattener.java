package loadbalancer.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Converts the configuration's tree of settings into the path=value pairs of the simulator's wire,
 * so that {@link SettingsReader} reads both. The parts of a path are joined by dots, and the values
 * of a plain list by commas. A list of objects becomes a {@code .count} and numbered paths.
 * Stateless.
 */
public final class SettingsFlattener {
    private SettingsFlattener() {}

    /** Returns the pairs for {@code settings}, a JSON tree of maps and lists. */
    public static Map<String, String> flatten(Map<?, ?> settings) {
        Map<String, String> values = new HashMap<>();
        flattenMap("", settings, values);
        return values;
    }

    private static void flattenMap(String path, Map<?, ?> map, Map<String, String> values) {
        String prefix = path.isEmpty() ? "" : path + ".";
        map.forEach((key, value) -> flattenValue(prefix + key, value, values));
    }

    private static void flattenValue(String path, Object value, Map<String, String> values) {
        if (value instanceof Map<?, ?> map) {
            flattenMap(path, map, values);
        } else if (value instanceof List<?> list) {
            flattenList(path, list, values);
        } else if (value != null) {
            values.put(path, PlatformTerms.normalizeName(value));
        }
    }

    private static void flattenList(String path, List<?> list, Map<String, String> values) {
        if (list.stream().noneMatch(Map.class::isInstance)) {
            String joined =
                    list.stream()
                            .map(PlatformTerms::normalizeName)
                            .collect(Collectors.joining(","));
            values.put(path, joined);
            return;
        }
        values.put(path + ".count", Integer.toString(list.size()));
        for (int i = 0; i < list.size(); i++) {
            flattenValue(path + "." + i, list.get(i), values);
        }
    }
}
