package loadbalancer.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import loadbalancer.config.LocalSettings.Setting;

/**
 * Reads the file of the program's own settings. A class of its own: a start without one loads
 * nothing of it.
 */
final class LocalSettingsParser {
    private static final Pattern TABLE_HEADER =
            Pattern.compile("\\s*\\[\\s*([\\w.-]+)\\s*]\\s*(#.*)?");
    private static final Pattern KEY_VALUE = Pattern.compile("\\s*([\\w.-]+)\\s*=.*");

    private final String fileName;
    private final ValueConsumer valueConsumer;
    private final Consumer<String> errorConsumer;
    private final Map<String, Integer> lineNumberByKey = new HashMap<>();

    /** Takes the value of a field, null for one of another type, from a place. */
    interface ValueConsumer {
        void accept(Setting setting, String value, String location);
    }

    private LocalSettingsParser(
            String fileName, ValueConsumer valueConsumer, Consumer<String> errorConsumer) {
        this.fileName = fileName;
        this.valueConsumer = valueConsumer;
        this.errorConsumer = errorConsumer;
    }

    /**
     * Reads all of it; {@code errorConsumer} hears of each with file and line, {@code
     * valueConsumer} of each value.
     */
    static void read(String fileName, ValueConsumer valueConsumer, Consumer<String> errorConsumer) {
        try {
            String text = Files.readString(Path.of(fileName));
            LocalSettingsParser parser =
                    new LocalSettingsParser(fileName, valueConsumer, errorConsumer);
            parser.indexLines(text);
            parser.visit("", new TomlMapper().readTree(text));
        } catch (JsonProcessingException e) {
            errorConsumer.accept(
                    fileName
                            + ": line "
                            + e.getLocation().getLineNr()
                            + ": "
                            + e.getOriginalMessage());
        } catch (IOException | InvalidPathException e) {
            errorConsumer.accept("can't read the settings " + fileName + ": " + e.getMessage());
        }
    }

    // The line of each key that stands on one of its own: the library's tree does not tell it.
    private void indexLines(String text) {
        String tablePrefix = "";
        int lineNumber = 0;
        for (String line : text.lines().toList()) {
            lineNumber++;
            Matcher tableHeader = TABLE_HEADER.matcher(line);
            Matcher keyValue = KEY_VALUE.matcher(line);
            if (tableHeader.matches()) {
                tablePrefix = tableHeader.group(1) + ".";
                lineNumberByKey.putIfAbsent(tableHeader.group(1), lineNumber);
            } else if (keyValue.matches()) {
                lineNumberByKey.putIfAbsent(tablePrefix + keyValue.group(1), lineNumber);
            }
        }
    }

    private void visit(String parentKey, JsonNode node) {
        for (Map.Entry<String, JsonNode> entry : node.properties()) {
            String key = parentKey.isEmpty() ? entry.getKey() : parentKey + "." + entry.getKey();
            JsonNode value = entry.getValue();
            String location =
                    fileName
                            + ": "
                            + (lineNumberByKey.containsKey(key)
                                    ? "line " + lineNumberByKey.get(key) + ": "
                                    : "")
                            + key;
            Setting setting =
                    Arrays.stream(Setting.values())
                            .filter(candidate -> candidate.key.equals(key))
                            .findAny()
                            .orElse(null);
            if (setting != null) {
                valueConsumer.accept(setting, toVariableText(setting, value), location);
            } else if (value.isObject()
                    && Arrays.stream(Setting.values())
                            .anyMatch(candidate -> candidate.key.startsWith(key + "."))) {
                visit(key, value);
            } else {
                errorConsumer.accept(
                        location
                                + ": unknown, known are "
                                + Arrays.stream(Setting.values())
                                        .map(candidate -> candidate.key)
                                        .collect(Collectors.joining(", ")));
            }
        }
    }

    // As a variable would say it.
    private static String toVariableText(Setting setting, JsonNode value) {
        return switch (setting.type) {
            case BOOLEAN -> !value.isBoolean() ? null : value.asBoolean() ? "on" : "off";
            case DIRECTORY -> value.isTextual() ? value.asText() : null;
            case MILLISECONDS -> value.isIntegralNumber() ? value.asText() : null;
        };
    }
}
