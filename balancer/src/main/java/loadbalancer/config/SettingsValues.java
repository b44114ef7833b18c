package loadbalancer.config;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Typed access to settings that stand as path=value pairs. A value of {@code -} counts as missing.
 * All methods throw {@link InvalidSettingException} for a value that does not have its type, and
 * those without a default for a missing one. Belongs to the thread that reads the settings.
 */
final class SettingsValues {
    private static final String ABSENT = "-";
    private static final String COUNT_SUFFIX = ".count";
    private static final String INDEX_PATTERN = "\\d{1,9}";

    private final Map<String, String> values;

    SettingsValues(Map<String, String> values) {
        this.values = values;
    }

    /** Whether the setting is given, be it as absent. */
    boolean contains(String path) {
        return values.containsKey(path);
    }

    String text(String path) {
        String value = present(path);
        if (value == null) {
            throw new InvalidSettingException(path, "required setting is missing");
        }
        return value;
    }

    String text(String path, String defaultValue) {
        String value = present(path);
        return value == null ? defaultValue : value;
    }

    // Null where the setting is missing.
    private String present(String path) {
        String value = values.get(path);
        return ABSENT.equals(value) ? null : value;
    }

    /** Values separated by commas; none where the setting is missing or empty. */
    List<String> textList(String path) {
        String value = text(path, "");
        return value.isEmpty() ? List.of() : List.of(value.split(","));
    }

    long integer(String path) {
        return parseInteger(path, text(path));
    }

    long integer(String path, long defaultValue) {
        String value = present(path);
        return value == null ? defaultValue : parseInteger(path, value);
    }

    private static long parseInteger(String path, String value) {
        try {
            return NumberParser.parseLong(value);
        } catch (InvalidValueException e) {
            throw new InvalidSettingException(path, e);
        }
    }

    double number(String path) {
        return parseNumber(path, text(path));
    }

    double number(String path, double defaultValue) {
        String value = present(path);
        return value == null ? defaultValue : parseNumber(path, value);
    }

    private static double parseNumber(String path, String value) {
        try {
            return NumberParser.parseFiniteDouble(value);
        } catch (InvalidValueException e) {
            throw new InvalidSettingException(path, e);
        }
    }

    boolean flag(String path) {
        return parseFlag(path, text(path));
    }

    boolean flag(String path, boolean defaultValue) {
        String value = present(path);
        return value == null ? defaultValue : parseFlag(path, value);
    }

    private static boolean parseFlag(String path, String value) {
        return switch (value) {
            case "true", "1" -> true;
            case "false", "0" -> false;
            default ->
                    throw new InvalidSettingException(path, "not true or false: '" + value + "'");
        };
    }

    /** The number of numbered settings below {@code path}. */
    int count(String path) {
        return checkCount(path, integer(path + COUNT_SUFFIX));
    }

    /** The number of numbered settings below {@code path}; 0 where none are given. */
    int countOrZero(String path) {
        return checkCount(path, integer(path + COUNT_SUFFIX, 0));
    }

    private int checkCount(String path, long count) {
        if (count < 0 || count > values.size()) {
            throw new InvalidSettingException(
                    path + COUNT_SUFFIX, "not a count of what follows: " + count);
        }
        return (int) count;
    }

    /** Positions in a list of {@code size} names; none where the setting is missing or empty. */
    Set<Integer> indexSet(String path, int size) {
        Set<Integer> indexes = new TreeSet<>();
        String value = text(path, "");
        if (value.isEmpty()) {
            return indexes;
        }
        for (String index : value.split(",", -1)) {
            if (!index.matches(INDEX_PATTERN) || Integer.parseInt(index) >= size) {
                throw new InvalidSettingException(
                        path, "not between 0 and " + (size - 1) + ": '" + index + "'");
            }
            indexes.add(Integer.valueOf(index));
        }
        return indexes;
    }

    /** The constant that a term of the platform, in any case, stands for in {@code terms}. */
    <E> E term(String path, Map<String, E> terms) {
        return toConstant(path, text(path), terms);
    }

    <E> E term(String path, String defaultTerm, Map<String, E> terms) {
        return toConstant(path, text(path, defaultTerm), terms);
    }

    private static <E> E toConstant(String path, String term, Map<String, E> terms) {
        E constant = terms.get(term.toUpperCase(Locale.ROOT));
        if (constant == null) {
            throw new InvalidSettingException(path, "unknown word: '" + term + "'");
        }
        return constant;
    }
}
