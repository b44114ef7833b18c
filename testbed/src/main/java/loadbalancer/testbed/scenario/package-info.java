/**
 * Scenario files: {@link loadbalancer.testbed.scenario.ScenarioReader} turns TOML into a validated
 * {@link loadbalancer.testbed.scenario.Scenario}. Its keys are a stored format: recorded scenarios
 * must stay readable. Immutable values without threads of their own; nothing here may depend on how
 * a scenario is played ({@code emulation}, {@code process}, {@code simulation}).
 */
package loadbalancer.testbed.scenario;
