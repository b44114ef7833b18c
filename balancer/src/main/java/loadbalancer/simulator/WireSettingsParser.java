package loadbalancer.simulator;

import java.util.HashMap;
import java.util.Map;
import loadbalancer.config.BootSettings;
import loadbalancer.config.InvalidSettingException;
import loadbalancer.config.SettingsReader;

/** Turns the path=value pairs of an ENLIST line into what an instance is started with. */
final class WireSettingsParser {
    private WireSettingsParser() {}

    static BootSettings read(WireFrame frame, int firstPairPosition) {
        Map<String, String> values = new HashMap<>();
        for (int i = firstPairPosition; i <= frame.valueCount(); i++) {
            String pair = frame.rawValue(i, "BootInfo");
            int separator = pair.indexOf('=');
            if (separator <= 0) {
                throw frame.malformed("BootInfo", "not path=value: '" + pair + "'");
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
