package loadbalancer.testbed;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import loadbalancer.testbed.docfigures.FigurePageChecker;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Holds a page's figures to the files that they stand on. */
@Command(
        name = "figures",
        mixinStandardHelpOptions = true,
        description =
                "Holds the figures of a page to the files of runs that it refers to. Exit: 0, 1 where one "
                        + "differs by more than the rounding shown or has nothing to "
                        + "stand on, 2 where there is no page.")
final class DocFiguresCommand implements Callable<Integer> {
    @Parameters(paramLabel = "PAGE", description = "A page of Markdown, as docs/CAPACITY.md.")
    private Path page;

    @Override
    public Integer call() throws IOException {
        FigurePageChecker.Result result = FigurePageChecker.check(page);
        result.errors().forEach(System.out::println);
        System.out.println(
                result.figureCount() + " figures, " + result.errors().size() + " faults");
        return result.errors().isEmpty() ? TestbedCommand.EXIT_OK : TestbedCommand.EXIT_VIOLATION;
    }
}
