package junctionhead.lab;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import junctionhead.lab.figures.FigurePage;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Holds a page's figures to the files that they stand on. */
@Command(
        name = "figures",
        mixinStandardHelpOptions = true,
        description =
                "Holds the figures of a page to the files of runs that it refers to. Exit: 0, 1 where one "
                        + "differs by more than the rounding shown or has nothing to stand on, 2 where there is no page.")
final class FiguresCommand implements Callable<Integer> {
    @Parameters(paramLabel = "PAGE", description = "A page of Markdown, as docs/CAPACITY.md.")
    private Path page;

    @Override
    public Integer call() throws IOException {
        FigurePage.Check check = FigurePage.check(page);
        check.faults().forEach(System.out::println);
        System.out.println(check.figures() + " figures, " + check.faults().size() + " faults");
        return check.faults().isEmpty() ? Lab.OK : Lab.BROKEN;
    }
}
