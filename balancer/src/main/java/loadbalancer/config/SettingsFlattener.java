package loadbalancer.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Turns the configuration's tree of settings into the path=value pairs of the simulator's wire, so
 * that both have one reader, {@link SettingsReader}. Paths are joined by dots, lists of plain
 * values by commas; a list of objects has a {@code .count} and numbered paths. Stateless.
 */
public final class SettingsFlattener {
    private SettingsFlattener() {}

    /** The pairs of {@code settings}, a tree of maps and lists as a JSON reader gives it. */
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
