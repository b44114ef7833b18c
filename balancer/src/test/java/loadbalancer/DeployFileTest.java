package loadbalancer;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against paths in the deploy file that do not exist: operators measure the code by the
 * files it names.
 */
class DeployFileTest {
    private static final Path ROOT = Path.of("..");
    private static final Pattern QUOTED = Pattern.compile("\"([^\"]+)\"");

    @ParameterizedTest
    @CsvSource({"policy, 8", "node, 2"})
    void namedSourceFilesExist(String key, int minFiles) throws IOException {
        List<String> deployFile = Files.readAllLines(ROOT.resolve("deploy/balancer.toml"));
        String line =
                deployFile.stream()
                        .filter(text -> text.startsWith(key + " = "))
                        .findAny()
                        .orElseThrow();
        Matcher path = QUOTED.matcher(line);
        int files = 0;
        while (path.find()) {
            files++;
            assertTrue(Files.exists(ROOT.resolve(path.group(1))), "no such file: " + path.group(1));
        }
        assertTrue(files >= minFiles, files + " files are named");
    }
}
