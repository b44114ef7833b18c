package loadbalancer.config;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;

/**
 * Provides typed access to settings in the form of path=value pairs. A value of {@code -} counts as
 * missing. All methods throw an {@link InvalidSettingException} for a value of the wrong type;
 * methods without a default also throw it for a missing value. Confined to the thread that reads
 * the settings.
 */
final class SettingsValues {
    private static final String ABSENT = "-";
    private static final String COUNT_SUFFIX = ".count";
    private static final String INDEX_PATTERN = "\\d{1,9}";

    private final Map<String, String> values;

    SettingsValues(Map<String, String> values) {
        this.values = values;
    }

    /** Returns whether the path is present, even if its value is {@code -}. */
    boolean contains(String path) {
        return values.containsKey(path);
    }

    String text(String path) {
        return find(path)
                .orElseThrow(
                        () -> new InvalidSettingException(path, "required setting is missing"));
    }

    String text(String path, String defaultValue) {
        return find(path).orElse(defaultValue);
    }

    // Returns empty if the setting is missing.
    private Optional<String> find(String path) {
        return Optional.ofNullable(values.get(path)).filter(value -> !value.equals(ABSENT));
    }

    /** Returns the comma-separated values; none if the setting is missing or empty. */
    List<String> textList(String path) {
        String value = text(path, "");
        return value.isEmpty() ? List.of() : List.of(value.split(","));
    }

    long integer(String path) {
        return parse(path, text(path), NumberParser::parseLong);
    }

    long integer(String path, long defaultValue) {
        return parse(path, NumberParser::parseLong).orElse(defaultValue);
    }

    double number(String path) {
        return parse(path, text(path), NumberParser::parseFiniteDouble);
    }

    double number(String path, double defaultValue) {
        return parse(path, NumberParser::parseFiniteDouble).orElse(defaultValue);
    }

    boolean flag(String path) {
        return parse(path, text(path), SettingsValues::parseFlag);
    }

    boolean flag(String path, boolean defaultValue) {
        return parse(path, SettingsValues::parseFlag).orElse(defaultValue);
    }

    private static boolean parseFlag(String value) {
        return switch (value) {
            case "true", "1" -> true;
            case "false", "0" -> false;
            default -> throw new InvalidValueException("true or false", value);
        };
    }

    // Returns empty if the setting is missing.
    private <T> Optional<T> parse(String path, Function<String, T> parser) {
        return find(path).map(value -> parse(path, value, parser));
    }

    private static <T> T parse(String path, String value, Function<String, T> parser) {
        try {
            return parser.apply(value);
        } catch (InvalidValueException e) {
            throw new InvalidSettingException(path, e);
        }
    }

    /** Returns the number of numbered settings below {@code path}. */
    int count(String path) {
        return checkCount(path, integer(path + COUNT_SUFFIX));
    }

    /** Returns the number of numbered settings below {@code path}; 0 if it is missing. */
    int countOrZero(String path) {
        return checkCount(path, integer(path + COUNT_SUFFIX, 0));
    }

    private int checkCount(String path, long count) {
        if (count < 0 || count > values.size()) {
            throw new InvalidSettingException(
                    path + COUNT_SUFFIX, "not a valid number of entries: " + count);
        }
        return (int) count;
    }

    /** Returns indexes in a list of {@code size} names; none if the setting is missing or empty. */
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

    /** Returns the constant in {@code terms} for a term of the platform, ignoring case. */
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
