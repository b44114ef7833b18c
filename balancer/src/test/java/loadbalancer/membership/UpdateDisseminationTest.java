package loadbalancer.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class UpdateDisseminationTest {
    private static final int MEMBER_COUNT = 4;
    // The limit for 4 members is 3 * (floor(log2(4)) + 2).
    private static final int TRANSMIT_LIMIT = 12;

    private final UpdateDissemination dissemination = new UpdateDissemination(0, MEMBER_COUNT);

    private static MemberUpdate latestUpdate(int member) {
        return new MemberUpdate(member, MemberStatus.ALIVE, 10 + member);
    }

    private List<Integer> selectMembers(int limit) {
        return dissemination.select(limit, UpdateDisseminationTest::latestUpdate).stream()
                .map(MemberUpdate::member)
                .toList();
    }

    @Test
    void updateIsSentBoundedTimes() {
        dissemination.enqueue(2);
        for (int i = 0; i < TRANSMIT_LIMIT; i++) {
            assertEquals(1, dissemination.pendingCount());
            assertEquals(List.of(2), selectMembers(8));
        }
        assertEquals(0, dissemination.pendingCount());
        assertEquals(List.of(), selectMembers(8));
    }

    @Test
    void updatesSentLeastOftenComeFirst() {
        dissemination.enqueue(1);
        selectMembers(8);
        dissemination.enqueue(3);
        assertEquals(List.of(3), selectMembers(1));
        assertEquals(List.of(1), selectMembers(1));
    }

    @Test
    void syncPagesCoverAllMembers() {
        assertEquals(
                List.of(0, 1, 2, 3),
                dissemination.nextSyncPage(UpdateDisseminationTest::latestUpdate).stream()
                        .map(MemberUpdate::member)
                        .toList());
    }
}
