/**
 * The command line of the testbed, with one class for each subcommand, which parses its options,
 * calls the testbed's other packages and prints the results. Exit codes are the constants of {@link
 * loadbalancer.testbed.ExitCodes}.
 */
package loadbalancer.testbed;
