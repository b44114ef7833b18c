package loadbalancer.config;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Parses the JSON tree of a configuration file, with the environment, into a {@link
 * BalancerConfig}. All methods throw an {@link InvalidConfigException} for the first error, with
 * the name of the field. Confined to the thread that reads the configuration.
 */
final class BalancerConfigParser {
    /** Overrides the file's field {@code discovery}. */
    static final String DISCOVERY_VARIABLE = "ROUTER_DISCOVERY";

    private static final String FILE_VARIABLE = "ROUTER_CONFIG";
    private static final String DIRECTORY_VARIABLE = "TMPDIR";
    private static final String ACCEPT_FD_VARIABLE = "ROUTER_ACCEPT_FD";
    private static final String INHERITED_DESCRIPTOR = "0";
    // Applies if neither the file nor the operating system sets a limit.
    private static final int DEFAULT_MAX_SOCKETS = 1024;
    private static final int HEXADECIMAL = 16;

    private final Map<String, String> environment;
    private final Map<String, Object> json;

    BalancerConfigParser(Map<String, String> environment, Map<String, Object> json) {
        this.environment = environment;
        this.json = json;
    }

    /** Returns the JSON tree of the file that the environment names; empty for an empty file. */
    static Map<String, Object> readFile(Map<String, String> environment) {
        String file = environment.get(FILE_VARIABLE);
        if (file == null || file.isBlank()) {
            throw new InvalidConfigException(FILE_VARIABLE + " is not set");
        }
        try {
            Map<String, Object> json = JSON.std.mapFrom(Files.readString(Path.of(file)));
            return json == null ? Map.of() : json;
        } catch (IOException | UncheckedIOException | IllegalArgumentException e) {
            String reason = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
            throw new InvalidConfigException(
                    "can't read the configuration "
                            + file
                            + ": "
                            + reason
                            + " ("
                            + e.getClass().getSimpleName()
                            + ")",
                    e);
        }
    }

    /** Parses the configuration. The order of the fields decides which error is reported first. */
    BalancerConfig parse() {
        String name = requiredText("ROUTER_NAME", "name");
        InetSocketAddress listenAddress =
                parseAddress("listen", requiredText("ROUTER_LISTEN", "listen"));
        InetSocketAddress discoveryAddress =
                parseAddress("discovery", requiredText(DISCOVERY_VARIABLE, "discovery"));
        Optional<String> adminText = text("ROUTER_ADMIN", "admin");
        boolean listenSocketInherited = listenSocketInherited();
        BootSettings boot = bootSettings();
        EndpointList initialEndpoints = initialEndpoints(boot);
        int maxSockets = maxSockets();
        return new BalancerConfig(
                name,
                listenAddress,
                discoveryAddress,
                seed(),
                maxSockets,
                initialEndpoints,
                boot,
                peers(),
                adminText.map(address -> parseAddress("admin", address)),
                listenSocketInherited,
                listenSocketInherited ? handoverDirectory() : Optional.empty(),
                LocalSettings.read(environment));
    }

    private Optional<Path> handoverDirectory() {
        return Optional.ofNullable(environment.get(DIRECTORY_VARIABLE))
                .filter(directory -> !directory.isBlank())
                .map(Path::of);
    }

    private boolean listenSocketInherited() {
        Optional<String> descriptor = text(ACCEPT_FD_VARIABLE, "accept_fd");
        if (descriptor.isPresent() && !descriptor.get().strip().equals(INHERITED_DESCRIPTOR)) {
            throw new InvalidConfigException(
                    ACCEPT_FD_VARIABLE
                            + ": only descriptor 0 can be inherited, not '"
                            + descriptor.get()
                            + "'");
        }
        return descriptor.isPresent();
    }

    private BootSettings bootSettings() {
        if (!(json.get("settings") instanceof Map<?, ?> settings)) {
            throw new InvalidConfigException("the configuration has no settings");
        }
        try {
            return SettingsReader.read(SettingsFlattener.flatten(settings));
        } catch (InvalidSettingException e) {
            throw new InvalidConfigException("settings: " + e.getMessage(), e);
        }
    }

    private EndpointList initialEndpoints(BootSettings boot) {
        Object known = json.get("known");
        if (known == null) {
            return EndpointList.empty();
        }
        try {
            return EndpointListCodec.decodeTree(known, boot);
        } catch (InvalidEndpointListException e) {
            throw new InvalidConfigException("known: " + e.getMessage(), e);
        }
    }

    private int maxSockets() {
        int configuredMax =
                json.get("limits") instanceof Map<?, ?> limits
                                && limits.get("sockets") instanceof Number number
                        ? number.intValue()
                        : ProcessLimits.UNLIMITED;
        int maxSockets = Math.min(configuredMax, ProcessLimits.maxOpenDescriptors());
        return maxSockets == ProcessLimits.UNLIMITED ? DEFAULT_MAX_SOCKETS : maxSockets;
    }

    private long seed() {
        Object seed = json.get("seed");
        if (seed instanceof Number number) {
            return number.longValue();
        }
        try {
            return Long.parseUnsignedLong(String.valueOf(seed), HEXADECIMAL);
        } catch (NumberFormatException e) {
            throw new InvalidConfigException("seed: not hexadecimal: '" + seed + "'", e);
        }
    }

    private PeerAddresses peers() {
        Object listenAddress = json.get("peer_listen");
        if (listenAddress == null) {
            return PeerAddresses.NONE;
        }
        List<?> configuredPeers = json.get("peers") instanceof List<?> list ? list : List.of();
        List<InetSocketAddress> addresses =
                configuredPeers.stream().map(peer -> parseAddress("peers", peer)).toList();
        Optional<Object> broadcastAddress = Optional.ofNullable(json.get("peers_all"));
        return new PeerAddresses(
                Optional.of(parseAddress("peer_listen", listenAddress)),
                addresses,
                broadcastAddress.map(address -> parseAddress("peers_all", address)));
    }

    private String requiredText(String variable, String field) {
        Optional<String> value = text(variable, field);
        if (value.isEmpty()) {
            throw new InvalidConfigException(
                    variable + " is not set, and the configuration has no " + field);
        }
        return value.get();
    }

    /** Returns the value of the variable, else of the field; empty if both are missing or blank. */
    private Optional<String> text(String variable, String field) {
        String value = environment.get(variable);
        if (value != null && !value.isBlank()) {
            return Optional.of(value);
        }
        return json.get(field) instanceof String configured && !configured.isBlank()
                ? Optional.of(configured)
                : Optional.empty();
    }

    private static InetSocketAddress parseAddress(String field, Object address) {
        try {
            return SocketAddressParser.parse(String.valueOf(address));
        } catch (InvalidAddressException e) {
            throw new InvalidConfigException(field + ": " + e.getMessage(), e);
        }
    }
}
