package loadbalancer.routing.api;

/** How much the worst-served class and the worst-served tenant count, beside the whole. */
public record ObjectiveWeights(
        double overall, double worstWindow, double worstClass, double worstTenant) {}
