package loadbalancer;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;

import com.tngtech.archunit.core.domain.JavaClasses;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;

/** Which packages of the project, and which libraries, each of some packages may use. */
final class AllowedPackages {
    private final String base;
    private final String[] libraries;
    private final Map<String, Set<String>> allowedByPackage = new TreeMap<>();

    /** Creates it without packages; the names of all are relative to {@code base}. */
    AllowedPackages(String base, String... libraries) {
        this.base = base;
        this.libraries = libraries;
    }

    /** Adds a package and the other packages that it may use. */
    AllowedPackages allow(String from, String... to) {
        allowedByPackage.put(from, Set.of(to));
        return this;
    }

    /** The packages that were added. */
    Set<String> packages() {
        return allowedByPackage.keySet();
    }

    /** Fails if a class of that package uses anything else. */
    void check(String from, JavaClasses analyzedClasses) {
        Stream<String> projectPackages =
                Stream.concat(Stream.of(from), allowedByPackage.get(from).stream())
                        .map(name -> base + "." + name);
        classes()
                .that()
                .resideInAPackage(base + "." + from)
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(
                        Stream.concat(Stream.of(libraries), projectPackages).toArray(String[]::new))
                .check(analyzedClasses);
    }
}
