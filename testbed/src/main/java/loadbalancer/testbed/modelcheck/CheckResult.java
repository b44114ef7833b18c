package loadbalancer.testbed.modelcheck;

import java.util.List;

/**
 * What an explorer found.
 *
 * @param statesExplored distinct ones that were seen
 * @param convergenceChecks of them, from which it was tried what becomes once faults end
 * @param violation the first thing that must not be; empty where nothing is wrong
 * @param trace the steps that led to it
 */
public record CheckResult(
        long statesExplored, long convergenceChecks, String violation, List<String> trace) {}
