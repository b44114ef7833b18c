package loadbalancer;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;

import com.tngtech.archunit.core.domain.JavaClasses;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;

/** The rules that say which packages of the project and which libraries a package may use. */
final class AllowedPackages {
    private final String base;
    private final String[] libraries;
    private final Map<String, Set<String>> allowedByPackage = new TreeMap<>();

    /**
     * Creates rules without packages.
     *
     * @param base the package to which all other names are relative
     * @param libraries package patterns that every package may use
     */
    AllowedPackages(String base, String... libraries) {
        this.base = base;
        this.libraries = libraries;
    }

    /** Adds the rule of a package: the other packages that it may use. */
    AllowedPackages allow(String from, String... to) {
        allowedByPackage.put(from, Set.of(to));
        return this;
    }

    /** Returns the packages that have a rule. */
    Set<String> packages() {
        return allowedByPackage.keySet();
    }

    /** Fails if a class of a package uses a package that its rule does not allow. */
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
