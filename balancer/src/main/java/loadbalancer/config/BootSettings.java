package loadbalancer.config;

import java.util.List;
import loadbalancer.routing.api.RoutingSettings;

/**
 * The platform's settings for one balancer, fixed while its process runs. Immutable.
 *
 * @param settings settings of the routing policy, which refer to classes, tenants, zones and
 *     machine types by their index in the lists of names below
 * @param loadFields names of the values in a load report on the simulator's wire, in their order
 *     there
 * @param classNames names of the request classes
 * @param tenantNames names of the tenants
 * @param zoneNames names of the zones
 * @param machineTypeNames names of the machine types
 * @param idleTimeoutMicros time after which an upstream closes an idle connection, in µs; 0 if it
 *     never does
 */
public record BootSettings(
        RoutingSettings settings,
        List<String> loadFields,
        List<String> classNames,
        List<String> tenantNames,
        List<String> zoneNames,
        List<String> machineTypeNames,
        long idleTimeoutMicros) {}
