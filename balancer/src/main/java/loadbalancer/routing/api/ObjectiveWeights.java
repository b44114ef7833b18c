package loadbalancer.routing.api;

/**
 * How much each part of the service counts in the operators' goal.
 *
 * @param overall all requests
 * @param worstWindow the worst window of time
 * @param worstClass the worst-served request class
 * @param worstTenant the worst-served tenant
 */
public record ObjectiveWeights(
        double overall, double worstWindow, double worstClass, double worstTenant) {}
