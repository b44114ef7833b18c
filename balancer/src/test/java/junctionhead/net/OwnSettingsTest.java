package junctionhead.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import junctionhead.net.OwnSettings.Field;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class OwnSettingsTest {
    @TempDir private Path dir;

    private final Map<String, String> environment = new HashMap<>();

    private OwnSettings read(String text) throws IOException {
        Path file = dir.resolve("own.toml");
        Files.writeString(file, text);
        environment.put("TANSYFERRY_SETTINGS", file.toString());
        return OwnSettings.read(environment);
    }

    private List<String> faults(String text) {
        String all = assertThrows(Config.Bad.class, () -> read(text)).getMessage();
        return List.of(all.replace(dir.resolve("own.toml").toString(), "own.toml").split("; "));
    }

    @Test
    void withoutAnythingAllIsOffAndVariablesWinOverTheFile() throws IOException {
        OwnSettings none = OwnSettings.read(Map.of());
        assertTrue(
                !none.on(Field.MEMBERSHIP_ON)
                        && !none.on(Field.DUTIES_ON)
                        && !none.on(Field.ZONES_ON));
        assertNull(none.folder(Field.STATE_DIR));
        environment.put("TANSYFERRY_ZONES", "off");
        OwnSettings own =
                read(
                        "zones.on = true\n[membership]\non = true\n"
                                + "[state]\ndir = \"/var/x\"\nevery_ms = 100\n");
        assertTrue(own.on(Field.MEMBERSHIP_ON) && !own.on(Field.ZONES_ON));
        assertEquals(Path.of("/var/x"), own.folder(Field.STATE_DIR));
        assertEquals(100, own.milliseconds(Field.STATE_EVERY_MS));
        assertEquals(List.of("membership.on", "state.dir", "state.every_ms"), none.changed(own));
    }

    @Test
    void allFaultsAreToldAtOnceWithTheirLines() {
        assertEquals(
                List.of(
                        "own.toml: line 2: membership.on: not true or false",
                        "own.toml: line 4: state.every_ms: not a whole number of ms from 100 to 60000",
                        "own.toml: line 5: state.dir: not a text that names a folder"),
                faults("[membership]\non = \"yes\"\n[state]\nevery_ms = 99\ndir = 5\n"));
        assertTrue(
                faults("[state]\nevery_ms = 60001\n")
                        .get(0)
                        .contains("line 2: state.every_ms: not a whole"));
        assertTrue(
                faults("[zones]\non = true\nspeed = 3\n")
                        .get(0)
                        .startsWith(
                                "own.toml: line 3: zones.speed: unknown, known are membership.on, "));
        assertTrue(faults("[else]\n").get(0).startsWith("own.toml: line 1: else: unknown"));
        assertTrue(faults("[zones]\non = tr").get(0).startsWith("own.toml: line 2: "));
        assertEquals(
                List.of("duties are on without membership, by which they go"),
                faults("duties.on = true\n"));
        assertTrue(faults("state = 3\n").get(0).startsWith("own.toml: line 1: state: unknown"));
    }

    @Test
    void whatCantBeReadIsSaid() {
        environment.put("TANSYFERRY_SETTINGS", dir.resolve("none").toString());
        assertTrue(
                assertThrows(Config.Bad.class, () -> OwnSettings.read(environment))
                        .getMessage()
                        .startsWith("can't read the settings "));
        assertEquals(
                "TANSYFERRY_ZONES: neither on nor off: 'yes'",
                assertThrows(
                                Config.Bad.class,
                                () -> OwnSettings.read(Map.of("TANSYFERRY_ZONES", "yes")))
                        .getMessage());
    }

    @Test
    void theDocumentsShowTheTableOfTheCode() throws IOException {
        assertTrue(
                Files.readString(Path.of("../docs/settings.md")).contains(OwnSettings.table()),
                OwnSettings.table());
    }
}
