package loadbalancer.config;

import java.util.List;
import loadbalancer.routing.api.RoutingSettings;

/**
 * What a balancer is started with: the module's settings, the order of values in a load report, the
 * names that stand for the module's numbers, and after what time (µs) a server closes an idle
 * connection.
 */
public record BootSettings(
        RoutingSettings settings,
        List<String> loadFields,
        List<String> classNames,
        List<String> tenantNames,
        List<String> zoneNames,
        List<String> machineTypeNames,
        long idleTimeoutMicros) {}
