package loadbalancer.routing.api;

/**
 * Weights of the parts of the service in the operators' objective.
 *
 * @param overall weight of all requests
 * @param worstWindow weight of the worst time window
 * @param worstClass weight of the worst-served request class
 * @param worstTenant weight of the worst-served tenant
 */
public record ObjectiveWeights(
        double overall, double worstWindow, double worstClass, double worstTenant) {}
