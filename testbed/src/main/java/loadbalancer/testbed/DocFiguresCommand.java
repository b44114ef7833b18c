package loadbalancer.testbed;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import loadbalancer.testbed.docfigures.FigurePageChecker;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Checks the figures of a page against the measurement files that they refer to. */
@Command(
        name = "figures",
        mixinStandardHelpOptions = true,
        description =
                "Checks the figures of a page against the measurement files that it refers to.",
        exitCodeListHeading = ExitCodes.HEADING,
        exitCodeList = {
            "0:Every figure agrees with its file.",
            "1:A figure differs by more than the rounding shown, or refers to no measurement.",
            ExitCodes.USAGE_HELP
        })
final class DocFiguresCommand implements Callable<Integer> {
    @Parameters(paramLabel = "PAGE", description = "A Markdown page, such as docs/CAPACITY.md.")
    private Path page;

    @Override
    public Integer call() throws IOException {
        FigurePageChecker.Result result = FigurePageChecker.check(page);
        result.errors().forEach(System.out::println);
        System.out.println(
                result.figureCount() + " figures, " + result.errors().size() + " errors");
        return result.errors().isEmpty() ? ExitCodes.OK : ExitCodes.VIOLATION;
    }
}
