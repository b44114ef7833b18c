package loadbalancer.config;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * What a balancer is told at its start, by its environment and its configuration file. {@code
 * admin} is null where operators have no door; {@code listenSocketInherited}: the clients'
 * listening socket came as descriptor 0; {@code localSettings}: the program's own settings.
 */
public record BalancerConfig(
        String name,
        InetSocketAddress listenAddress,
        InetSocketAddress discoveryAddress,
        long seed,
        int maxSockets,
        EndpointList initialEndpoints,
        BootSettings boot,
        PeerAddresses peers,
        InetSocketAddress adminAddress,
        boolean listenSocketInherited,
        LocalSettings localSettings) {
    private static final Path PROCESS_LIMITS_FILE = Path.of("/proc/self/limits");
    // Assumed where neither file nor system tells
    private static final int DEFAULT_MAX_SOCKETS = 1024;

    /**
     * Reads the file that {@code ROUTER_CONFIG} names; the other variables win over what it says.
     */
    public static BalancerConfig read(Map<String, String> environment) {
        String file = environment.get("ROUTER_CONFIG");
        if (file == null || file.isBlank()) {
            throw new InvalidConfigException("ROUTER_CONFIG is not set");
        }
        Map<String, Object> json;
        try {
            json = JSON.std.mapFrom(Files.readString(Path.of(file)));
        } catch (IOException | UncheckedIOException | IllegalArgumentException e) {
            throw new InvalidConfigException(
                    "can't read the configuration "
                            + file
                            + ": "
                            + String.valueOf(e.getMessage()).lines().findFirst().orElse("")
                            + " ("
                            + e.getClass().getSimpleName()
                            + ")");
        }
        return parse(environment, json == null ? Map.of() : json);
    }

    /**
     * As it is after a reload: the environment is that of the start, so the file names discovery.
     */
    public static BalancerConfig readForReload(Map<String, String> environment) {
        Map<String, String> environmentWithoutDiscovery = new HashMap<>(environment);
        environmentWithoutDiscovery.remove("ROUTER_DISCOVERY");
        return read(environmentWithoutDiscovery);
    }

    public static BalancerConfig parse(Map<String, String> environment, Map<String, Object> json) {
        String name = told(environment, "ROUTER_NAME", json, "name");
        InetSocketAddress listenAddress =
                address("listen", told(environment, "ROUTER_LISTEN", json, "listen"));
        InetSocketAddress discoveryAddress =
                address("discovery", told(environment, "ROUTER_DISCOVERY", json, "discovery"));
        String adminText = said(environment, "ROUTER_ADMIN", json, "admin");
        String acceptFd = said(environment, "ROUTER_ACCEPT_FD", json, "accept_fd");
        if (acceptFd != null && !acceptFd.strip().equals("0")) {
            throw new InvalidConfigException(
                    "ROUTER_ACCEPT_FD: only descriptor 0 can be taken over, not '"
                            + acceptFd
                            + "'");
        }
        Object settings = json.get("settings");
        if (!(settings instanceof Map)) {
            throw new InvalidConfigException("the configuration has no settings");
        }
        Map<String, String> values = new HashMap<>();
        flatten("", settings, values);
        BootSettings boot =
                SettingsReader.read(
                        values,
                        (path, problem) ->
                                new InvalidConfigException("settings: " + path + ": " + problem));
        EndpointList initialEndpoints = new EndpointList(0, true, List.of());
        if (json.get("known") != null) {
            try {
                initialEndpoints = EndpointList.fromJson(json.get("known"), boot);
            } catch (IllegalArgumentException e) {
                throw new InvalidConfigException("known: " + e.getMessage());
            }
        }
        Object limits = json.get("limits");
        Object configuredSockets =
                limits instanceof Map ? ((Map<?, ?>) limits).get("sockets") : null;
        int configuredMax =
                configuredSockets instanceof Number
                        ? ((Number) configuredSockets).intValue()
                        : Integer.MAX_VALUE;
        int maxSockets = Math.min(configuredMax, maxOpenDescriptors());
        return new BalancerConfig(
                name,
                listenAddress,
                discoveryAddress,
                seed(json.get("seed")),
                maxSockets == Integer.MAX_VALUE ? DEFAULT_MAX_SOCKETS : maxSockets,
                initialEndpoints,
                boot,
                peers(json),
                adminText == null ? null : address("admin", adminText),
                acceptFd != null,
                LocalSettings.read(environment));
    }

    private static PeerAddresses peers(Map<String, Object> json) {
        if (json.get("peer_listen") == null) {
            return PeerAddresses.NONE;
        }
        Object configuredPeers = json.get("peers");
        List<InetSocketAddress> addresses =
                (configuredPeers instanceof List<?> list ? list : List.of())
                        .stream().map(p -> address("peers", String.valueOf(p))).toList();
        Object broadcastAddress = json.get("peers_all");
        return new PeerAddresses(
                address("peer_listen", String.valueOf(json.get("peer_listen"))),
                addresses,
                broadcastAddress == null
                        ? null
                        : address("peers_all", String.valueOf(broadcastAddress)));
    }

    private static String told(
            Map<String, String> environment,
            String variable,
            Map<String, Object> json,
            String field) {
        String value = said(environment, variable, json, field);
        if (value == null) {
            throw new InvalidConfigException(
                    variable + " is not set, and the configuration has no " + field);
        }
        return value;
    }

    /** The same where it may be missing: null. */
    private static String said(
            Map<String, String> environment,
            String variable,
            Map<String, Object> json,
            String field) {
        String value = environment.get(variable);
        if (value != null && !value.isBlank()) {
            return value;
        }
        Object configured = json.get(field);
        return configured instanceof String && !((String) configured).isBlank()
                ? (String) configured
                : null;
    }

    private static InetSocketAddress address(String setting, String text) {
        try {
            return EndpointList.parseAddress(text);
        } catch (IllegalArgumentException e) {
            throw new InvalidConfigException(setting + ": " + e.getMessage());
        }
    }

    private static long seed(Object value) {
        if (value instanceof Number) {
            return ((Number) value).longValue();
        }
        try {
            return Long.parseUnsignedLong(String.valueOf(value), 16);
        } catch (NumberFormatException e) {
            throw new InvalidConfigException("seed: not hexadecimal: '" + value + "'");
        }
    }

    /**
     * An address literal: there is no DNS here, and a name must not make the start wait for one.
     */
    public static InetSocketAddress parseIpLiteral(String host, int port) {
        if (!host.matches("[0-9.]+|\\[?[0-9a-fA-F:.]*:[0-9a-fA-F:.]*]?")) {
            throw new IllegalArgumentException("not an address: '" + host + "'");
        }
        try {
            return new InetSocketAddress(InetAddress.getByName(host), port);
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("not an address: '" + host + "'");
        }
    }

    /** The names of the simulator's wire: paths joined by dots, lists of plain values by commas. */
    public static void flatten(String path, Object value, Map<String, String> into) {
        if (value instanceof Map<?, ?> map) {
            map.forEach((k, v) -> flatten(path.isEmpty() ? k.toString() : path + "." + k, v, into));
        } else if (value instanceof List<?> list) {
            if (list.stream().anyMatch(Map.class::isInstance)) {
                into.put(path + ".count", Integer.toString(list.size()));
                for (int i = 0; i < list.size(); i++) {
                    flatten(path + "." + i, list.get(i), into);
                }
            } else {
                into.put(
                        path,
                        list.stream()
                                .map(BalancerConfig::toWireValue)
                                .collect(Collectors.joining(",")));
            }
        } else if (value != null) {
            into.put(path, toWireValue(value));
        }
    }

    /** A value as it stands on the wire, where spaces and commas within values are replaced. */
    public static String toWireValue(Object value) {
        return String.valueOf(value).replace(' ', '_').replace(',', '_');
    }

    /**
     * The soft limit on descriptors, read without the management classes: they make a start longer.
     */
    private static int maxOpenDescriptors() {
        try {
            for (String line : Files.readAllLines(PROCESS_LIMITS_FILE)) {
                if (line.toLowerCase(Locale.ROOT).startsWith("max open files")) {
                    return (int)
                            Math.min(
                                    Integer.MAX_VALUE,
                                    Long.parseLong(line.trim().split("\\s+")[3]));
                }
            }
        } catch (IOException | NumberFormatException e) {
            // Unlimited, or not this kind of system
            return Integer.MAX_VALUE;
        }
        return Integer.MAX_VALUE;
    }
}
