package loadbalancer.testbed;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import loadbalancer.testbed.report.HtmlReport;
import loadbalancer.testbed.statistics.RunResult;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Makes a page of a run. */
@Command(
        name = "report",
        mixinStandardHelpOptions = true,
        description = "Writes report.html, one page without network, into a run's folder.")
final class ReportCommand implements Callable<Integer> {
    @Parameters(paramLabel = "DIR", description = "The folder of a run.")
    private Path runDirectory;

    @Override
    public Integer call() throws IOException {
        System.setProperty("java.awt.headless", "true");
        System.out.println(new HtmlReport(RunResult.read(runDirectory)).write(runDirectory));
        return TestbedCommand.EXIT_OK;
    }
}
