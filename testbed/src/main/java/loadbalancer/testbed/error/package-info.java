/**
 * Exceptions that the command line reports as one line: {@link
 * loadbalancer.testbed.error.InvalidInputException} for the user's input, and subclasses of {@link
 * java.io.IOException} for files, processes and resources. Other runtime exceptions are bugs. Must
 * not depend on other packages of the testbed.
 */
package loadbalancer.testbed.error;
