package junctionhead.net;

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
final class OwnSettings {
    /** What may be set; the order is that of the documents' table. */
    enum Field {
        MEMBERSHIP_ON(
                "membership.on",
                "TANSYFERRY_MEMBERSHIP",
                Type.SWITCH,
                "off",
                0,
                0,
                "balancers tell each other who is present"),
        DUTIES_ON(
                "duties.on",
                "TANSYFERRY_DUTIES",
                Type.SWITCH,
                "off",
                0,
                0,
                "what only one of them does at a time; needs `membership.on`"),
        ZONES_ON(
                "zones.on",
                "TANSYFERRY_ZONES",
                Type.SWITCH,
                "off",
                0,
                0,
                "a lost zone is left as a whole, and met again in steps"),
        STATE_DIR(
                "state.dir",
                "TANSYFERRY_STATE_DIR",
                Type.FOLDER,
                "",
                0,
                0,
                "a folder of this balancer's own, for what outlives a crash; none: nothing is kept"),
        STATE_EVERY_MS(
                "state.every_ms",
                null,
                Type.MILLISECONDS,
                "1000",
                100,
                60_000,
                "least time between two snapshots of the list");

        final String path;
        // Null: the file only
        final String variable;
        final Type type;
        final String otherwise;
        final long least;
        final long most;
        final String meaning;

        Field(
                String path,
                String variable,
                Type type,
                String otherwise,
                long least,
                long most,
                String meaning) {
            this.path = path;
            this.variable = variable;
            this.type = type;
            this.otherwise = otherwise;
            this.least = least;
            this.most = most;
            this.meaning = meaning;
        }
    }

    /** How a value is written. */
    enum Type {
        SWITCH("true, false"),
        FOLDER("path"),
        MILLISECONDS("ms");

        final String unit;

        Type(String unit) {
            this.unit = unit;
        }
    }

    private final Map<Field, String> values = new EnumMap<>(Field.class);
    private final List<String> faults = new ArrayList<>();

    private OwnSettings() {}

    /**
     * Reads what the environment names and says.
     *
     * @throws Config.Bad with all that is wrong, in one line
     */
    static OwnSettings read(Map<String, String> environment) {
        OwnSettings settings = new OwnSettings();
        for (Field f : Field.values()) {
            settings.values.put(f, f.otherwise);
        }
        String file = environment.getOrDefault("TANSYFERRY_SETTINGS", "");
        if (!file.isBlank()) {
            SettingsFile.read(file, settings::take, settings.faults::add);
        }
        for (Field f : Field.values()) {
            String said = f.variable == null ? "" : environment.getOrDefault(f.variable, "");
            if (!said.isBlank()) {
                settings.take(f, said, f.variable);
            }
        }
        if (settings.on(Field.DUTIES_ON) && !settings.on(Field.MEMBERSHIP_ON)) {
            settings.faults.add("duties are on without membership, by which they go");
        }
        if (!settings.faults.isEmpty()) {
            throw new Config.Bad(String.join("; ", settings.faults));
        }
        return settings;
    }

    // A value from some place; null: one of another type.
    private void take(Field f, String value, String place) {
        String wrong =
                value == null
                        ? expected(f)
                        : switch (f.type) {
                            case SWITCH ->
                                    value.equals("on") || value.equals("off")
                                            ? null
                                            : "neither on nor off: '" + value + "'";
                            case FOLDER -> isPath(value) ? null : "no path: '" + value + "'";
                            case MILLISECONDS ->
                                    value.matches("\\d{1,9}")
                                                    && Long.parseLong(value) >= f.least
                                                    && Long.parseLong(value) <= f.most
                                            ? null
                                            : expected(f);
                        };
        if (wrong != null) {
            faults.add(place + ": " + wrong);
        } else {
            values.put(f, value);
        }
    }

    private static String expected(Field f) {
        return switch (f.type) {
            case SWITCH -> "not true or false";
            case FOLDER -> "not a text that names a folder";
            case MILLISECONDS -> "not a whole number of ms from " + f.least + " to " + f.most;
        };
    }

    private static boolean isPath(String text) {
        try {
            return Path.of(text) != null;
        } catch (InvalidPathException e) {
            return false;
        }
    }

    boolean on(Field f) {
        return values.get(f).equals("on");
    }

    /** Null where none is named. */
    Path folder(Field f) {
        return values.get(f).isBlank() ? null : Path.of(values.get(f));
    }

    long milliseconds(Field f) {
        return Long.parseLong(values.get(f));
    }

    /** What others say differently, by their paths. */
    List<String> changed(OwnSettings others) {
        return Arrays.stream(Field.values())
                .filter(f -> !values.get(f).equals(others.values.get(f)))
                .map(f -> f.path)
                .toList();
    }

    /** All of them, as the documents show them. */
    static String table() {
        StringBuilder table = new StringBuilder();
        table.append("| setting | variable | unit | default | bounds | meaning |\n");
        table.append("| --- | --- | --- | --- | --- | --- |\n");
        for (Field f : Field.values()) {
            table.append(
                    String.format(
                            Locale.ROOT,
                            "| `%s` | %s | %s | %s | %s | %s |%n",
                            f.path,
                            f.variable == null ? "-" : "`" + f.variable + "`",
                            f.type.unit,
                            f.otherwise.isEmpty()
                                    ? "none"
                                    : f.type == Type.SWITCH ? "false" : f.otherwise,
                            f.type == Type.MILLISECONDS ? f.least + " to " + f.most : "-",
                            f.meaning));
        }
        return table.toString();
    }
}
