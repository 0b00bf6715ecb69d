package sandstack.fleet.link;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Logger;
import sandstack.fleet.MemberStatus;
import sandstack.fleet.MemberTable;
import sandstack.fleet.Membership;
import sandstack.fleet.QuorumState;

/** Logs changes of the quorum state and of the status of members. Used on the fleet's thread. */
final class MembershipEventLog {
    private static final Logger LOG = Logger.getLogger(FleetMember.LOGGER_NAME);
    private static final int ID_PREFIX_LENGTH = 8;

    private final boolean quorumConfigured;
    private final Map<String, MemberStatus> loggedStatus = new HashMap<>();

    /**
     * Creates a log.
     *
     * @param quorumConfigured whether the relays of the fleet are configured; the quorum state is not logged otherwise
     */
    MembershipEventLog(boolean quorumConfigured) {
        this.quorumConfigured = quorumConfigured;
    }

    /** Logs the differences between two successive views. */
    void viewChanged(Membership.View before, Membership.View after) {
        QuorumState state = after.quorum().state();
        if (state != before.quorum().state() && quorumConfigured) {
            LOG.info("quorum state changed state=" + state.label() + " reason=\""
                    + after.quorum().reason() + "\"");
        }
        for (MemberTable.Row row : after.rows()) {
            logStatusChange(row, after.self().id());
        }
        if (loggedStatus.size() > after.rows().size()) {
            List<String> ids =
                    after.rows().stream().map(row -> row.incarnation().id()).toList();
            loggedStatus.keySet().retainAll(ids);
        }
    }

    private void logStatusChange(MemberTable.Row row, String selfId) {
        String id = row.incarnation().id();
        MemberStatus previous = loggedStatus.put(id, row.status());
        boolean firstStatusOfSelf = previous == null && id.equals(selfId);
        if (previous == row.status() || firstStatusOfSelf) {
            return;
        }
        String unreachableFrom =
                row.unreachableFrom().isEmpty() ? "" : " unreachable_from=" + String.join(",", row.unreachableFrom());
        LOG.info("member status changed name=" + row.incarnation().name() + " incarnation="
                + id.substring(0, ID_PREFIX_LENGTH) + " status=" + row.status().label() + unreachableFrom);
    }
}
