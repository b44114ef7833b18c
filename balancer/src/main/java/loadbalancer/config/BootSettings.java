package loadbalancer.config;

import java.util.List;
import loadbalancer.routing.api.RoutingSettings;

/**
 * The platform's settings of one balancer, fixed for the life of its process. Immutable.
 *
 * @param settings the routing policy's settings, in which classes, tenants, zones and machine types
 *     are numbers: positions in the lists of names that follow
 * @param loadFields names of the values of a load report on the simulator's wire, in its order
 * @param classNames names of the request classes
 * @param tenantNames names of the tenants
 * @param zoneNames names of the zones
 * @param machineTypeNames names of the machine types
 * @param idleTimeoutMicros after what time an upstream closes an idle connection, µs; 0: never
 */
public record BootSettings(
        RoutingSettings settings,
        List<String> loadFields,
        List<String> classNames,
        List<String> tenantNames,
        List<String> zoneNames,
        List<String> machineTypeNames,
        long idleTimeoutMicros) {}
