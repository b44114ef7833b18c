package loadbalancer.testbed.scenario;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;

/** Reads scenario files in TOML, and validates them. Thread-safe. */
public final class ScenarioReader {
    private final ObjectMapper mapper =
            new TomlMapper().setPropertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE);
    private final FieldChecks checks;
    private final ScenarioValidator validator;

    private ScenarioReader(String file, boolean simulated) {
        checks = new FieldChecks(file);
        validator = new ScenarioValidator(checks, simulated);
    }

    /**
     * Reads a scenario file.
     *
     * @param simulated whether the scenario will be simulated, which allows larger sizes
     * @throws InvalidScenarioException if the file can't be read or is invalid
     */
    public static Scenario read(Path path, boolean simulated) {
        String text;
        try {
            text = Files.readString(path);
        } catch (IOException e) {
            throw new InvalidScenarioException(
                    path.toString(), "", "can't be read: " + e.getMessage());
        }
        return parse(path.toString(), text, simulated);
    }

    /**
     * Parses the text of a scenario.
     *
     * @param file the file's name in the messages of exceptions
     * @param simulated whether the scenario will be simulated, which allows larger sizes
     * @throws InvalidScenarioException if the text is invalid
     */
    public static Scenario parse(String file, String text, boolean simulated) {
        return new ScenarioReader(file, simulated).parse(text);
    }

    private Scenario parse(String text) {
        Scenario scenario;
        try {
            scenario = mapper.readValue(text, Scenario.class);
        } catch (UnrecognizedPropertyException e) {
            throw checks.invalid(locationOf(e.getPath()), "unknown field");
        } catch (JsonMappingException e) {
            throw checks.invalid(
                    locationOf(e.getPath()), e.getOriginalMessage().lines().findFirst().orElse(""));
        } catch (JsonProcessingException e) {
            throw checks.invalid("line " + e.getLocation().getLineNr(), e.getOriginalMessage());
        }
        validator.validate(scenario);
        return scenario;
    }

    private static String locationOf(List<JsonMappingException.Reference> path) {
        return path.stream()
                .map(
                        reference ->
                                reference.getFieldName() != null
                                        ? reference.getFieldName()
                                        : "[" + reference.getIndex() + "]")
                .collect(Collectors.joining("."))
                .replace(".[", "[");
    }
}
