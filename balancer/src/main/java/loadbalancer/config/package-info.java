/**
 * The configuration of a balancer process: what the platform gives ({@link
 * loadbalancer.config.BalancerConfig}, {@link loadbalancer.config.BootSettings}), the load
 * balancer's own settings ({@link loadbalancer.config.LocalSettings}, each of them a {@link
 * loadbalancer.config.LocalSetting}) and endpoint lists ({@link loadbalancer.config.EndpointList}),
 * each with its parser. {@link loadbalancer.config.PlatformTerms} is the one place where the
 * platform's vocabulary is translated to the code's terms.
 *
 * <p>Values are immutable and may be shared between threads; parsers belong to the thread that
 * calls them. Invalid input is reported by typed exceptions: {@link
 * loadbalancer.config.InvalidConfigException} for a configuration as a whole, {@link
 * loadbalancer.config.InvalidSettingException}, {@link
 * loadbalancer.config.InvalidEndpointListException}, {@link
 * loadbalancer.config.InvalidAddressException} and {@link
 * loadbalancer.config.InvalidValueException} for its parts.
 *
 * <p>A value that may be missing is an {@link java.util.Optional}, in records, parameters and
 * results alike. Null occurs only within methods that read a library's maps and trees, where it
 * stands for a missing key or for JSON's null.
 *
 * <p>The package may use {@code routing.api} for the values that settings become. It must not
 * depend on sockets, the event loop or any package that is configured by it.
 */
package loadbalancer.config;
