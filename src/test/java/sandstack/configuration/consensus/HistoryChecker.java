package sandstack.configuration.consensus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import sandstack.configuration.CommittedChange;
import sandstack.configuration.ConfigurationSnapshot;
import sandstack.configuration.ConfigurationVersion;

/**
 * Checks what machines report and what clients are answered, and records each violation: one order on all machines
 * without gaps, nothing reported before a majority of the disks stores it, each change applied once, and true answers.
 */
final class HistoryChecker {
    final List<String> violations = new ArrayList<>();
    private final Map<Long, CommittedChange> committed = new HashMap<>();
    private final Map<String, Long> indexOfChange = new HashMap<>();
    private final Map<String, ConfigurationVersion> reportedCommitted = new HashMap<>();
    private final Set<String> reportedRejected = new HashSet<>();
    private final Set<String> indeterminate = new HashSet<>();
    private final Set<String> proposed = new HashSet<>();

    /** One incarnation of a machine's state machine. */
    final class Incarnation {
        private final ControlIdentity machine;
        private ConfigurationVersion last = ConfigurationVersion.NONE;

        Incarnation(ControlIdentity machine) {
            this.machine = machine;
        }

        void committed(CommittedChange change, BooleanSupplier majorityHolds) {
            if (!change.version().follows(last)) {
                addViolation(machine + " reported " + change.version() + " after " + last);
            }
            last = change.version();
            CommittedChange first = committed.putIfAbsent(last.index(), change);
            if (first != null) {
                requireEqual(machine, first, change);
                return;
            }
            if (!majorityHolds.getAsBoolean()) {
                addViolation(machine + " reported " + last + " before a majority of the disks stored it");
            }
            Long earlier = indexOfChange.putIfAbsent(change.change().reason(), last.index());
            if (earlier != null) {
                addViolation(change.change().reason() + " was applied at " + earlier + " and " + last);
            }
        }

        void restored(ConfigurationSnapshot snapshot) {
            last = snapshot.version();
            CommittedChange known = committed.get(last.index());
            if (known == null
                    || !known.version().equals(last)
                    || !known.digest().equals(snapshot.digest())) {
                addViolation(machine + " was restored to " + snapshot + ", the order has " + known);
            }
        }
    }

    void proposed(String change) {
        proposed.add(change);
    }

    void outcomeReported(String change, ProposalOutcome outcome) {
        if (outcome instanceof ProposalOutcome.Committed agreed) {
            ConfigurationVersion before = reportedCommitted.putIfAbsent(change, agreed.version());
            if (before != null && !before.equals(agreed.version())) {
                addViolation(change + " was answered as " + before + " and " + agreed.version());
            }
        } else if (outcome instanceof ProposalOutcome.Rejected refused) {
            switch (refused.rejection().reason()) {
                case NO_QUORUM, TOO_MANY -> {}
                default -> reportedRejected.add(change);
            }
        } else if (outcome instanceof ProposalOutcome.Indeterminate) {
            indeterminate.add(change);
        }
    }

    /** Checks the answers after the last fault; an unanswered attempt counts as indeterminate. */
    void finish(Set<String> unanswered) {
        indeterminate.addAll(unanswered);
        reportedCommitted.forEach((change, version) -> {
            CommittedChange there = committed.get(version.index());
            if (there == null
                    || !there.version().equals(version)
                    || !there.change().reason().equals(change)) {
                addViolation(change + " was answered as " + version + ", the order has " + there);
            }
        });
        for (String change : reportedRejected) {
            if (indexOfChange.containsKey(change)) {
                addViolation(change + " was rejected and is committed");
            }
        }
        for (String change : indexOfChange.keySet()) {
            if (!proposed.contains(change)) {
                addViolation(change + " is in the order and nobody asked for it");
            }
            if (!reportedCommitted.containsKey(change) && !indeterminate.contains(change)) {
                addViolation(change + " is committed and was never answered as committed or indeterminate");
            }
        }
    }

    /** Number of committed changes. */
    int committedChanges() {
        return committed.size();
    }

    int reportedCommitted() {
        return reportedCommitted.size();
    }

    private void requireEqual(ControlIdentity machine, CommittedChange first, CommittedChange later) {
        if (!first.equals(later)) {
            addViolation(machine + " reported " + later + " where another machine reported " + first);
        }
    }

    private void addViolation(String what) {
        if (violations.size() < 20) {
            violations.add(what);
        }
    }
}
