package junctionhead.net;

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
import junctionhead.net.OwnSettings.Field;

/**
 * Reads the file of the program's own settings. A class of its own: a start without one loads
 * nothing of it.
 */
final class SettingsFile {
    private static final Pattern TABLE = Pattern.compile("\\s*\\[\\s*([\\w.-]+)\\s*]\\s*(#.*)?");
    private static final Pattern KEY = Pattern.compile("\\s*([\\w.-]+)\\s*=.*");

    private final String name;
    private final Taker taker;
    private final Consumer<String> faults;
    private final Map<String, Integer> lines = new HashMap<>();

    /** Takes the value of a field, null for one of another type, from a place. */
    interface Taker {
        void take(Field field, String value, String place);
    }

    private SettingsFile(String name, Taker taker, Consumer<String> faults) {
        this.name = name;
        this.taker = taker;
        this.faults = faults;
    }

    /**
     * Reads all of it; {@code faults} hears of each with file and line, {@code taker} of each
     * value.
     */
    static void read(String name, Taker taker, Consumer<String> faults) {
        try {
            String text = Files.readString(Path.of(name));
            SettingsFile file = new SettingsFile(name, taker, faults);
            file.number(text);
            file.walk("", new TomlMapper().readTree(text));
        } catch (JsonProcessingException e) {
            faults.accept(
                    name + ": line " + e.getLocation().getLineNr() + ": " + e.getOriginalMessage());
        } catch (IOException | InvalidPathException e) {
            faults.accept("can't read the settings " + name + ": " + e.getMessage());
        }
    }

    // The line of each key that stands on one of its own: the library's tree does not tell it.
    private void number(String text) {
        String table = "";
        int number = 0;
        for (String line : text.lines().toList()) {
            number++;
            Matcher head = TABLE.matcher(line);
            Matcher key = KEY.matcher(line);
            if (head.matches()) {
                table = head.group(1) + ".";
                lines.putIfAbsent(head.group(1), number);
            } else if (key.matches()) {
                lines.putIfAbsent(table + key.group(1), number);
            }
        }
    }

    private void walk(String path, JsonNode at) {
        for (Map.Entry<String, JsonNode> entry : at.properties()) {
            String full = path.isEmpty() ? entry.getKey() : path + "." + entry.getKey();
            JsonNode value = entry.getValue();
            String place =
                    name
                            + ": "
                            + (lines.containsKey(full) ? "line " + lines.get(full) + ": " : "")
                            + full;
            Field field =
                    Arrays.stream(Field.values())
                            .filter(f -> f.path.equals(full))
                            .findAny()
                            .orElse(null);
            if (field != null) {
                taker.take(field, written(field, value), place);
            } else if (value.isObject()
                    && Arrays.stream(Field.values()).anyMatch(f -> f.path.startsWith(full + "."))) {
                walk(full, value);
            } else {
                faults.accept(
                        place
                                + ": unknown, known are "
                                + Arrays.stream(Field.values())
                                        .map(f -> f.path)
                                        .collect(Collectors.joining(", ")));
            }
        }
    }

    // As a variable would say it.
    private static String written(Field field, JsonNode value) {
        return switch (field.type) {
            case SWITCH -> !value.isBoolean() ? null : value.asBoolean() ? "on" : "off";
            case FOLDER -> value.isTextual() ? value.asText() : null;
            case MILLISECONDS -> value.isIntegralNumber() ? value.asText() : null;
        };
    }
}
