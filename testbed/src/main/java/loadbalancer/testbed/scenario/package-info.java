/**
 * Scenario files: {@link loadbalancer.testbed.scenario.ScenarioReader} turns TOML into a validated
 * {@link loadbalancer.testbed.scenario.Scenario}. Its keys are a stored format: recorded scenarios
 * must stay readable. Scenarios are immutable, and the package has no threads of its own. It must
 * not depend on how a scenario is run ({@code emulation}, {@code process}, {@code simulation}).
 */
package loadbalancer.testbed.scenario;
