package loadbalancer.testbed.process;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** Sets the environment variables of balancer processes. Stateless. */
public final class BalancerEnvironment {
    /** The variable that names the directory of a balancer's persistent state. */
    public static final String STATE_DIRECTORY_VARIABLE = "TANSYFERRY_STATE_DIR";

    private static final String NAME_VARIABLE = "ROUTER_NAME";
    private static final String CONFIG_VARIABLE = "ROUTER_CONFIG";
    private static final String TEMP_DIRECTORY_VARIABLE = "TMPDIR";
    private static final List<String> INHERITED_VARIABLES =
            List.of("PATH", "HOME", "LANG", "JAVA_HOME");

    private BalancerEnvironment() {}

    /**
     * Sets the variables that every balancer process has, and removes all inherited variables
     * except {@code PATH}, {@code HOME}, {@code LANG} and {@code JAVA_HOME}.
     *
     * @return the modifiable variables of {@code builder}
     */
    public static Map<String, String> configure(
            ProcessBuilder builder, String name, Path configFile, Path tempDirectory) {
        Map<String, String> variables = builder.environment();
        variables.keySet().retainAll(INHERITED_VARIABLES);
        variables.put(NAME_VARIABLE, name);
        variables.put(CONFIG_VARIABLE, configFile.toString());
        variables.put(TEMP_DIRECTORY_VARIABLE, tempDirectory.toString());
        return variables;
    }
}
