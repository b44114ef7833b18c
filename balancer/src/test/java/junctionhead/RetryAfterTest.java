package junctionhead;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import junctionhead.Policy.Effect;
import junctionhead.Policy.ListKind;
import junctionhead.Policy.Scope;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RetryAfterTest {
    /**
     * As long as strain is remembered, no longer than clients heed it, and nothing where they get
     * none.
     */
    @ParameterizedTest
    @CsvSource({"0, 0", "1, 1", "1999999, 1999999", "2000000, 2000000", "2500000, 2000000"})
    void aRefusalTellsWhenToComeBackWhereTheSettingsAllowIt(long most, long told) {
        Policy.Settings base = Harness.settings(Harness.kind(Effect.UNSAFE, Scope.ALL));
        Policy.Limits limits = base.limits();
        Harness harness =
                new Harness(
                        new Policy.Settings(
                                1,
                                0,
                                0,
                                base.classes(),
                                List.of(),
                                1,
                                base.goal(),
                                base.prices(),
                                false,
                                base.discovery(),
                                base.reports(),
                                false,
                                new Policy.Limits(
                                        limits.maxAttempts(),
                                        limits.mayDuplicate(),
                                        limits.mayCancel(),
                                        limits.mayProbe(),
                                        limits.connectTimeout(),
                                        most),
                                base.bounds(),
                                base.tick()),
                        3);
        // No server to send to
        harness.list(ListKind.PERSISTED, List.of());
        harness.request("r", 0);
        harness.pass(Harness.DEADLINE);
        assertTrue(
                harness.log.stream().anyMatch(l -> l.endsWith(" refuse r " + told)),
                harness.log.toString());
    }
}
