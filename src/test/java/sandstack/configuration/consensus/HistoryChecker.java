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
 * Checks the changes that the machines report and the outcomes that the clients receive, and records each violation.
 * All machines must report the same changes in one order without gaps, a change only after a majority of the disks
 * stores it, and no change at two indexes; each outcome must agree with the committed history. The reason of a change
 * identifies it, and must therefore be unique.
 */
final class HistoryChecker {
    final List<String> violations = new ArrayList<>();
    private final Map<Long, CommittedChange> committed = new HashMap<>();
    private final Map<String, Long> indexOfChange = new HashMap<>();
    private final Map<String, ConfigurationVersion> reportedCommitted = new HashMap<>();
    private final Set<String> reportedRejected = new HashSet<>();
    private final Set<String> indeterminate = new HashSet<>();
    private final Set<String> proposed = new HashSet<>();

    /** Checks the reports of one incarnation of a machine, which lasts from one start to the next. */
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
            Long earlierIndex = indexOfChange.putIfAbsent(change.change().reason(), last.index());
            if (earlierIndex != null) {
                addViolation(change.change().reason() + " was applied at " + earlierIndex + " and " + last);
            }
        }

        void restored(ConfigurationSnapshot snapshot) {
            last = snapshot.version();
            CommittedChange known = committed.get(last.index());
            if (known == null
                    || !known.version().equals(last)
                    || !known.digest().equals(snapshot.digest())) {
                addViolation(machine + " was restored to " + snapshot + ", the committed history has " + known);
            }
        }
    }

    void proposed(String change) {
        proposed.add(change);
    }

    void outcomeReported(String change, ProposalOutcome outcome) {
        if (outcome instanceof ProposalOutcome.Committed committedOutcome) {
            ConfigurationVersion earlierVersion = reportedCommitted.putIfAbsent(change, committedOutcome.version());
            if (earlierVersion != null && !earlierVersion.equals(committedOutcome.version())) {
                addViolation(change + " was reported as committed at " + earlierVersion + " and at "
                        + committedOutcome.version());
            }
        } else if (outcome instanceof ProposalOutcome.Rejected rejected) {
            switch (rejected.rejection().reason()) {
                case NO_QUORUM, TOO_MANY -> {}
                default -> reportedRejected.add(change);
            }
        } else if (outcome instanceof ProposalOutcome.Indeterminate) {
            indeterminate.add(change);
        }
    }

    /** Checks the outcomes after the last fault; a change with an attempt still pending counts as indeterminate. */
    void finish(Set<String> pendingChanges) {
        indeterminate.addAll(pendingChanges);
        reportedCommitted.forEach((change, version) -> {
            CommittedChange committedChange = committed.get(version.index());
            if (committedChange == null
                    || !committedChange.version().equals(version)
                    || !committedChange.change().reason().equals(change)) {
                addViolation(change + " was reported as committed at " + version + ", the committed history has "
                        + committedChange);
            }
        });
        for (String change : reportedRejected) {
            if (indexOfChange.containsKey(change)) {
                addViolation(change + " was reported as rejected but is committed");
            }
        }
        for (String change : indexOfChange.keySet()) {
            if (!proposed.contains(change)) {
                addViolation(change + " is committed but was never proposed");
            }
            if (!reportedCommitted.containsKey(change) && !indeterminate.contains(change)) {
                addViolation(change + " is committed but was never reported as committed or indeterminate");
            }
        }
    }

    /** Returns the number of distinct changes that machines reported as committed. */
    int committedChanges() {
        return committed.size();
    }

    /** Returns the number of distinct changes whose commit was reported to a client. */
    int reportedCommitted() {
        return reportedCommitted.size();
    }

    private void requireEqual(ControlIdentity machine, CommittedChange first, CommittedChange later) {
        if (!first.equals(later)) {
            addViolation(machine + " reported " + later + " where another machine reported " + first);
        }
    }

    private void addViolation(String violation) {
        if (violations.size() < 20) {
            violations.add(violation);
        }
    }
}
