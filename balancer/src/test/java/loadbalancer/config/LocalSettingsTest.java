package loadbalancer.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import loadbalancer.config.LocalSettings.Setting;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

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
                !defaults.isEnabled(Setting.MEMBERSHIP_ENABLED)
                        && !defaults.isEnabled(Setting.LEASES_ENABLED)
                        && !defaults.isEnabled(Setting.ZONE_FAILOVER_ENABLED));
        assertEquals(Optional.empty(), defaults.directory(Setting.STATE_DIRECTORY));
        environment.put("TANSYFERRY_ZONES", "off");
        LocalSettings settings =
                readSettings(
                        "zones.on = true\n[membership]\non = true\n"
                                + "[state]\ndir = \"/var/x\"\nevery_ms = 100\n");
        assertTrue(
                settings.isEnabled(Setting.MEMBERSHIP_ENABLED)
                        && !settings.isEnabled(Setting.ZONE_FAILOVER_ENABLED));
        assertEquals(Optional.of(Path.of("/var/x")), settings.directory(Setting.STATE_DIRECTORY));
        assertEquals(100, settings.milliseconds(Setting.SNAPSHOT_INTERVAL_MS));
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
                        "own.toml: line 5: state.dir: not a text that names a folder"),
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
        assertEquals(
                List.of("duties are on without membership, by which they go"),
                errors("duties.on = true\n"));
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
        assertTrue(
                Files.readString(Path.of("../docs/settings.md"))
                        .contains(LocalSettings.markdownTable()),
                LocalSettings.markdownTable());
    }
}
