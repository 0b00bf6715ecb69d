package sandstack.fleet.link;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;
import sandstack.fleet.Incarnation;
import sandstack.fleet.MemberStatus;
import sandstack.fleet.MemberTable;
import sandstack.fleet.Membership;
import sandstack.fleet.QuorumAssessment;
import sandstack.fleet.QuorumState;

/** The log lines that docs/fleet-links.md describes. */
class MembershipEventLogTest {
    private static final Incarnation SELF = new Incarnation("0123456789abcdef", "edge-1", "z", "m", "127.0.0.1:7001");
    private static final Incarnation OTHER = new Incarnation("fedcba9876543210", "edge-2", "z", "m", "127.0.0.1:7002");

    private final List<String> lines = new ArrayList<>();
    private final Handler handler = new Handler() {
        @Override
        public void publish(LogRecord record) {
            // other tests log under the same name in parallel
            if (Thread.currentThread() == testThread) {
                lines.add(record.getMessage());
            }
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    };
    private final Thread testThread = Thread.currentThread();

    private static Membership.View view(QuorumState state, MemberTable.Row... others) {
        List<MemberTable.Row> rows = new ArrayList<>(List.of(row(SELF, MemberStatus.ALIVE)));
        rows.addAll(List.of(others));
        QuorumAssessment quorum = new QuorumAssessment(state, 0, 0, List.of(), List.of(), "1 of 2 are reached");
        return new Membership.View(SELF, rows, Map.of(), true, Set.of(), quorum, 0);
    }

    private static MemberTable.Row row(Incarnation incarnation, MemberStatus status, String... unreachableFrom) {
        return new MemberTable.Row(incarnation, status, 0, 0, unreachableFrom.length, List.of(unreachableFrom));
    }

    private List<String> logged(Runnable action) {
        Logger logger = Logger.getLogger(FleetMember.LOGGER_NAME);
        logger.addHandler(handler);
        try {
            action.run();
        } finally {
            logger.removeHandler(handler);
        }
        List<String> logged = List.copyOf(lines);
        lines.clear();
        return logged;
    }

    @Test
    void eachChangeIsOneLine() {
        MembershipEventLog log = new MembershipEventLog(true);
        Membership.View alone = view(QuorumState.UNKNOWN);
        Membership.View joined = view(QuorumState.COMPLETE, row(OTHER, MemberStatus.ALIVE));
        Membership.View lost = view(QuorumState.ISOLATED, row(OTHER, MemberStatus.LOST, "edge-1", "edge-3"));
        assertThat(logged(() -> log.viewChanged(alone, alone))).isEmpty();
        assertThat(logged(() -> log.viewChanged(alone, joined)))
                .containsExactly(
                        "quorum state changed state=WHOLE reason=\"1 of 2 are reached\"",
                        "member status changed name=edge-2 incarnation=fedcba98 status=ALIVE");
        assertThat(logged(() -> log.viewChanged(joined, joined))).isEmpty();
        assertThat(logged(() -> log.viewChanged(joined, lost)))
                .containsExactly(
                        "quorum state changed state=ALONE reason=\"1 of 2 are reached\"",
                        "member status changed name=edge-2 incarnation=fedcba98 status=LOST"
                                + " unreachable_from=edge-1,edge-3");
    }

    @Test
    void withoutConfiguredRelaysTheQuorumStateIsNotLogged() {
        MembershipEventLog log = new MembershipEventLog(false);
        assertThat(logged(() -> log.viewChanged(view(QuorumState.UNKNOWN), view(QuorumState.ISOLATED))))
                .isEmpty();
    }

    @Test
    void warningsAreLimitedInRate() {
        FleetWarningLog warnings = new FleetWarningLog(Logger.getLogger(FleetMember.LOGGER_NAME));
        assertThat(logged(() -> {
                    warnings.warning("message rejected address=a reason=\"x\"");
                    warnings.warning("message rejected address=a reason=\"x\"");
                }))
                .containsExactly("message rejected address=a reason=\"x\" suppressed=0");
    }
}
