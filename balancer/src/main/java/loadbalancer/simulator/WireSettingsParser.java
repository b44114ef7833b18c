package loadbalancer.simulator;

import java.util.HashMap;
import java.util.Map;
import loadbalancer.config.BootSettings;
import loadbalancer.config.InvalidSettingException;
import loadbalancer.config.SettingsReader;

/**
 * Parses the settings of a new instance from the path=value pairs of its ENLIST line. Stateless.
 */
final class WireSettingsParser {
    private static final String PAIRS = "BootInfo";

    private WireSettingsParser() {}

    /**
     * Parses all pairs from {@code firstPairPosition} on; position 1 is the first value.
     *
     * @throws WireFormatException if a pair is malformed or a setting is missing or invalid
     */
    static BootSettings read(WireFrame frame, int firstPairPosition) {
        Map<String, String> values = new HashMap<>();
        for (int i = firstPairPosition; i <= frame.valueCount(); i++) {
            String pair = frame.valueAt(i);
            int separator = pair.indexOf('=');
            if (separator <= 0) {
                throw frame.malformed(PAIRS, "not path=value: '" + pair + "'");
            }
            values.put(pair.substring(0, separator), pair.substring(separator + 1));
        }
        try {
            return SettingsReader.read(values);
        } catch (InvalidSettingException e) {
            throw frame.malformed(e.path(), e.problem());
        }
    }
}
