package loadbalancer.testbed;

import loadbalancer.testbed.statistics.RunResult;

/** The exit codes of all commands, and their descriptions in the commands' help. Stateless. */
final class ExitCodes {
    /** The command succeeded, and every invariant held. */
    static final int OK = 0;

    /** An invariant was violated, or a checked page has an error. */
    static final int VIOLATION = 1;

    /** Invalid arguments, or a file or program that can't be used. */
    static final int USAGE = 2;

    /** The machine was too busy for the result to be trusted. */
    static final int UNTRUSTED = 3;

    /** The heading of the list of exit codes in the help of a command. */
    static final String HEADING = "Exit codes:%n";

    static final String OK_HELP = "0:Successful.";
    static final String OK_INVARIANTS_HELP = "0:Every invariant held.";
    static final String VIOLATION_HELP = "1:An invariant was violated.";
    static final String USAGE_HELP = "2:Invalid arguments, or a file can't be used.";
    static final String UNTRUSTED_HELP = "3:The machine was too busy for the result to be trusted.";

    private ExitCodes() {}

    /** Returns the exit code for a result; a violation takes precedence over a busy machine. */
    static int of(RunResult result) {
        if (result.violationCount() > 0) {
            return VIOLATION;
        }
        return result.trusted() ? OK : UNTRUSTED;
    }
}
