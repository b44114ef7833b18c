package junctionhead.lab.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;

import junctionhead.membership.News;
import junctionhead.membership.Status;
import org.junit.jupiter.api.Test;

/** Only what an observer had to learn counts, once, from when it happened. */
class NoticesTest {
    private final Notices notices = new Notices(4);

    @Test
    void eachObserverCountsOnce() {
        notices.gone(0, 100, by -> by != 3);
        notices.seen(1, new News(0, Status.SUSPECTED, 5), 200);
        notices.seen(1, new News(0, Status.DEAD, 5), 300);
        notices.seen(1, new News(0, Status.DEAD, 6), 900);
        notices.seen(3, new News(0, Status.DEAD, 5), 300);
        assertEquals(1, notices.deathTimes().getTotalCount());
        assertEquals(200, notices.deathTimes().getMaxValue());
        assertEquals(1, notices.deathsUnknown());
        notices.blind(2);
        assertEquals(0, notices.deathsUnknown());
    }

    @Test
    void aReturnIsNewsOnlyToThoseWhoKnewAndWereThere() {
        notices.gone(0, 100, by -> true);
        notices.seen(1, new News(0, Status.LEFT, 5), 150);
        notices.seen(2, new News(0, Status.LEFT, 5), 160);
        notices.blind(2);
        notices.born(2, 200);
        notices.back(0, 300, 9, by -> true);
        // 3 did not know yet
        assertEquals(1, notices.overtaken());
        // Of its earlier life
        notices.seen(1, new News(0, Status.ALIVE, 8), 310);
        assertEquals(1, notices.returnsUnknown());
        notices.seen(1, new News(0, Status.ALIVE, 9), 400);
        notices.seen(2, new News(0, Status.ALIVE, 9), 400);
        notices.seen(3, new News(0, Status.ALIVE, 9), 400);
        assertEquals(1, notices.returnTimes().getTotalCount());
        assertEquals(100, notices.returnTimes().getMaxValue());
        assertEquals(0, notices.returnsUnknown());
    }
}
