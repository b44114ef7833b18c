package loadbalancer.testbed.modelcheck;

import java.util.List;

/**
 * The result of a model check.
 *
 * @param statesExplored number of distinct states that were visited
 * @param convergenceChecks number of states from which convergence was checked
 * @param violation describes the first violation found; empty if there is none
 * @param trace the steps that led to the violation, oldest first; empty if there is none
 */
public record CheckResult(
        long statesExplored, long convergenceChecks, String violation, List<String> trace) {}
