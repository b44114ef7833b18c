/**
 * The command line: one class for each subcommand, which parses its options, calls one of the
 * packages below and prints what it measured. Exit codes are the constants of {@link
 * loadbalancer.testbed.ExitCodes}.
 */
package loadbalancer.testbed;
