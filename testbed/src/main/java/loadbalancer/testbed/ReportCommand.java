package loadbalancer.testbed;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import loadbalancer.testbed.report.HtmlReport;
import loadbalancer.testbed.statistics.RunResult;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Writes an HTML report of a completed run. */
@Command(
        name = "report",
        mixinStandardHelpOptions = true,
        description =
                "Writes report.html, a page without external resources, into a run's directory.",
        exitCodeListHeading = ExitCodes.HEADING,
        exitCodeList = {ExitCodes.OK_HELP, ExitCodes.USAGE_HELP})
final class ReportCommand implements Callable<Integer> {
    @Parameters(paramLabel = "DIR", description = "The directory of a run.")
    private Path runDirectory;

    @Override
    public Integer call() throws IOException {
        System.setProperty("java.awt.headless", "true");
        System.out.println(new HtmlReport(RunResult.read(runDirectory)).write(runDirectory));
        return ExitCodes.OK;
    }
}
