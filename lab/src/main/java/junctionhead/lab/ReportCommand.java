package junctionhead.lab;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import junctionhead.lab.measure.Result;
import junctionhead.lab.report.HtmlReport;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Makes a page of a run. */
@Command(
        name = "report",
        mixinStandardHelpOptions = true,
        description = "Writes report.html, one page without network, into a run's folder.")
final class ReportCommand implements Callable<Integer> {
    @Parameters(paramLabel = "DIR", description = "The folder of a run.")
    private Path folder;

    @Override
    public Integer call() throws IOException {
        System.setProperty("java.awt.headless", "true");
        System.out.println(new HtmlReport(Result.read(folder)).write(folder));
        return Lab.OK;
    }
}
