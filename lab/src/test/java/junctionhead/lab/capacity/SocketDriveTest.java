package junctionhead.lab.capacity;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.time.Duration;
import java.util.EnumSet;
import org.junit.jupiter.api.Test;

/** The same hollow balancers on sockets, in real time. */
class SocketDriveTest {
    private static final int BALANCERS = 5;
    private static final Duration SOON = Duration.ofSeconds(20);

    @Test
    void theyHearOneAnotherAndNoticeAnEnd() throws IOException {
        Site site = new Site(BALANCERS, 10, 2, 1, 0, EnumSet.allOf(Part.class));
        try (SocketDrive drive = new SocketDrive(site, 1, 1, 0)) {
            for (int b = 0; b < BALANCERS; b++) {
                drive.start(b);
            }
            await().atMost(SOON)
                    .until(
                            () ->
                                    drive.ledgers().stream()
                                            .allMatch(
                                                    l ->
                                                            l.received(Kind.WORD) >= BALANCERS - 1
                                                                    && l.received(Kind.MEMBERSHIP)
                                                                            > 2
                                                                    && l.received(Kind.DUTIES)
                                                                            > 0));
            drive.kill(4);
            await().atMost(SOON).until(() -> drive.notices().deathsUnknown() == 0);
            assertEquals(BALANCERS - 1, drive.notices().deathTimes().getTotalCount());
            drive.start(4);
            await().atMost(SOON).until(() -> drive.notices().returnsUnknown() == 0);
            assertEquals(BALANCERS - 1, drive.notices().returnTimes().getTotalCount());
        }
    }
}
