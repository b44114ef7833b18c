/**
 * The configuration of a balancer process: the platform's configuration ({@link
 * loadbalancer.config.BalancerConfig}, {@link loadbalancer.config.BootSettings}), the load
 * balancer's own settings ({@link loadbalancer.config.LocalSettings}, each of them a {@link
 * loadbalancer.config.LocalSetting}) and endpoint lists ({@link loadbalancer.config.EndpointList}),
 * each with its parser. Only {@link loadbalancer.config.PlatformTerms} translates between the
 * platform's terms and the constants of the code.
 *
 * <p>Values are immutable and may be shared between threads; parsers are confined to the thread
 * that calls them. Invalid input is reported by typed exceptions: {@link
 * loadbalancer.config.InvalidConfigException} for a configuration as a whole, {@link
 * loadbalancer.config.InvalidSettingException}, {@link
 * loadbalancer.config.InvalidEndpointListException}, {@link
 * loadbalancer.config.InvalidAddressException} and {@link
 * loadbalancer.config.InvalidValueException} for its parts.
 *
 * <p>A value that may be missing is an {@link java.util.Optional} in records, parameters and
 * results. Null is used only within methods that read the maps and trees of a library, where it
 * stands for a missing key or for JSON's null.
 *
 * <p>The package may use {@code routing.api} for the types of parsed settings. It must not depend
 * on sockets, the event loop or any package that it configures.
 */
package loadbalancer.config;
