package loadbalancer.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests {@link LocalSettings}: the precedence of sources, all error messages, and the docs. */
class LocalSettingsTest {
    @TempDir private Path directory;

    private final Map<String, String> environment = new HashMap<>();

    private LocalSettings readSettings(String text) throws IOException {
        Path file = directory.resolve("own.toml");
        Files.writeString(file, text);
        environment.put("TANSYFERRY_SETTINGS", file.toString());
        return LocalSettings.read(environment);
    }

    private List<String> errors(String text) {
        String message =
                assertThrows(InvalidConfigException.class, () -> readSettings(text)).getMessage();
        return List.of(
                message.replace(directory.resolve("own.toml").toString(), "own.toml").split("; "));
    }

    @Test
    void defaultsAreOffAndVariablesWin() throws IOException {
        LocalSettings defaults = LocalSettings.read(Map.of());
        assertTrue(
                !defaults.isEnabled(LocalSetting.MEMBERSHIP_ENABLED)
                        && !defaults.isEnabled(LocalSetting.LEASES_ENABLED)
                        && !defaults.isEnabled(LocalSetting.ZONE_FAILOVER_ENABLED));
        assertEquals(Optional.empty(), defaults.directory(LocalSetting.STATE_DIRECTORY));
        environment.put("TANSYFERRY_ZONES", "off");
        LocalSettings settings =
                readSettings(
                        "zones.on = true\n[membership]\non = true\n"
                                + "[state]\ndir = \"/var/x\"\nevery_ms = 100\n");
        assertTrue(
                settings.isEnabled(LocalSetting.MEMBERSHIP_ENABLED)
                        && !settings.isEnabled(LocalSetting.ZONE_FAILOVER_ENABLED));
        assertEquals(
                Optional.of(Path.of("/var/x")), settings.directory(LocalSetting.STATE_DIRECTORY));
        assertEquals(100, settings.milliseconds(LocalSetting.SNAPSHOT_INTERVAL_MS));
        assertEquals(
                List.of("membership.on", "state.dir", "state.every_ms"),
                defaults.changedKeys(settings));
    }

    @Test
    void allErrorsAreReportedWithLines() {
        assertEquals(
                List.of(
                        "own.toml: line 2: membership.on: not true or false",
                        "own.toml: line 4: state.every_ms: not a whole number of ms from 100 to 60000",
                        "own.toml: line 5: state.dir: not a string with the path of a directory"),
                errors("[membership]\non = \"yes\"\n[state]\nevery_ms = 99\ndir = 5\n"));
        assertTrue(
                errors("[state]\nevery_ms = 60001\n")
                        .get(0)
                        .contains("line 2: state.every_ms: not a whole"));
        assertTrue(
                errors("[zones]\non = true\nspeed = 3\n")
                        .get(0)
                        .startsWith(
                                "own.toml: line 3: zones.speed: unknown, known are membership.on, "));
        assertTrue(errors("[else]\n").get(0).startsWith("own.toml: line 1: else: unknown"));
        assertTrue(errors("[zones]\non = tr").get(0).startsWith("own.toml: line 2: "));
        assertEquals(List.of("duties.on requires membership.on"), errors("duties.on = true\n"));
        assertTrue(errors("state = 3\n").get(0).startsWith("own.toml: line 1: state: unknown"));
    }

    @Test
    void unreadableSettingsAreReported() {
        environment.put("TANSYFERRY_SETTINGS", directory.resolve("none").toString());
        assertTrue(
                assertThrows(InvalidConfigException.class, () -> LocalSettings.read(environment))
                        .getMessage()
                        .startsWith("can't read the settings "));
        assertEquals(
                "TANSYFERRY_ZONES: neither on nor off: 'yes'",
                assertThrows(
                                InvalidConfigException.class,
                                () -> LocalSettings.read(Map.of("TANSYFERRY_ZONES", "yes")))
                        .getMessage());
    }

    @Test
    void documentationShowsTheSettingsTable() throws IOException {
        String table =
                Arrays.stream(LocalSetting.values())
                        .map(LocalSettingsTest::tableRow)
                        .collect(Collectors.joining());
        String header =
                "| setting | variable | unit | default | bounds | meaning |\n"
                        + "| --- | --- | --- | --- | --- | --- |\n";
        assertTrue(
                Files.readString(Path.of("../docs/settings.md")).contains(header + table),
                header + table);
    }

    private static String tableRow(LocalSetting setting) {
        String variable = setting.environmentVariable().map(name -> "`" + name + "`").orElse("-");
        return String.format(
                Locale.ROOT,
                "| `%s` | %s | %s | %s | %s | %s |%n",
                setting.key(),
                variable,
                unit(setting.type()),
                shownDefault(setting),
                setting.type() == LocalSetting.Type.MILLISECONDS
                        ? setting.min() + " to " + setting.max()
                        : "-",
                setting.description());
    }

    private static String unit(LocalSetting.Type type) {
        return switch (type) {
            case BOOLEAN -> "true, false";
            case DIRECTORY -> "path";
            case MILLISECONDS -> "ms";
        };
    }

    private static String shownDefault(LocalSetting setting) {
        return switch (setting.type()) {
            case BOOLEAN -> String.valueOf(LocalSetting.parseBoolean(setting.defaultValue()));
            case DIRECTORY -> setting.defaultValue().isEmpty() ? "none" : setting.defaultValue();
            case MILLISECONDS -> setting.defaultValue();
        };
    }
}
