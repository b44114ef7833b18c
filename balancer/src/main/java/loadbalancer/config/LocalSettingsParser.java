package loadbalancer.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Parses the TOML file of the local settings. Separate from {@link LocalSettings}, so that a
 * process without such a file loads neither this class nor the TOML library. Confined to the thread
 * that reads the settings.
 */
final class LocalSettingsParser {
    private static final Pattern TABLE_HEADER =
            Pattern.compile("\\s*\\[\\s*([\\w.-]+)\\s*]\\s*(#.*)?");
    private static final Pattern KEY_VALUE = Pattern.compile("\\s*([\\w.-]+)\\s*=.*");

    private final String fileName;
    private final Map<String, Integer> lineNumberByKey = new HashMap<>();
    private final Map<LocalSetting, String> values = new EnumMap<>(LocalSetting.class);
    private final List<String> errors = new ArrayList<>();

    /**
     * The content of a file.
     *
     * @param values the valid values, as texts that an environment variable would have
     * @param errors all errors, each with file, line and key as far as they are known
     */
    record Result(Map<LocalSetting, String> values, List<String> errors) {}

    private LocalSettingsParser(String fileName) {
        this.fileName = fileName;
    }

    /** Parses a whole file. A file that can't be read or is not TOML results in a single error. */
    static Result parse(String fileName) {
        LocalSettingsParser parser = new LocalSettingsParser(fileName);
        try {
            String text = Files.readString(Path.of(fileName));
            parser.indexLines(text);
            parser.visit("", new TomlMapper().readTree(text));
        } catch (JsonProcessingException e) {
            int lineNumber = e.getLocation().getLineNr();
            parser.errors.add(fileName + ": line " + lineNumber + ": " + e.getOriginalMessage());
        } catch (IOException | InvalidPathException e) {
            parser.errors.add("can't read the settings " + fileName + ": " + e.getMessage());
        }
        return new Result(parser.values, parser.errors);
    }

    // Finds the line of each key that has its own line; the library's tree has no locations.
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

    private void visit(String tableKey, JsonNode table) {
        for (Map.Entry<String, JsonNode> entry : table.properties()) {
            String key = tableKey.isEmpty() ? entry.getKey() : tableKey + "." + entry.getKey();
            JsonNode node = entry.getValue();
            Optional<LocalSetting> setting = findSetting(key);
            if (setting.isPresent()) {
                readValue(setting.get(), node);
            } else if (node.isObject() && isTableOfSettings(key)) {
                visit(key, node);
            } else {
                errors.add(location(key) + ": unknown, known are " + knownKeys());
            }
        }
    }

    private void readValue(LocalSetting setting, JsonNode node) {
        Optional<String> text = toVariableText(setting.type(), node);
        Optional<String> problem =
                text.isPresent()
                        ? setting.problemWith(text.get())
                        : Optional.of(setting.typeProblem());
        if (problem.isPresent()) {
            errors.add(location(setting.key()) + ": " + problem.get());
        } else {
            values.put(setting, text.get());
        }
    }

    // Returns the value as an environment variable would have it; empty if it has the wrong type.
    private static Optional<String> toVariableText(LocalSetting.Type type, JsonNode node) {
        boolean hasType =
                switch (type) {
                    case BOOLEAN -> node.isBoolean();
                    case DIRECTORY -> node.isTextual();
                    case MILLISECONDS -> node.isIntegralNumber();
                };
        if (!hasType) {
            return Optional.empty();
        }
        return Optional.of(
                type == LocalSetting.Type.BOOLEAN
                        ? LocalSetting.booleanText(node.asBoolean())
                        : node.asText());
    }

    private String location(String key) {
        String line =
                Optional.ofNullable(lineNumberByKey.get(key))
                        .map(lineNumber -> "line " + lineNumber + ": ")
                        .orElse("");
        return fileName + ": " + line + key;
    }

    private static Optional<LocalSetting> findSetting(String key) {
        return Arrays.stream(LocalSetting.values())
                .filter(setting -> setting.key().equals(key))
                .findAny();
    }

    private static boolean isTableOfSettings(String key) {
        return Arrays.stream(LocalSetting.values())
                .anyMatch(setting -> setting.key().startsWith(key + "."));
    }

    private static String knownKeys() {
        return Arrays.stream(LocalSetting.values())
                .map(LocalSetting::key)
                .collect(Collectors.joining(", "));
    }
}
