package sandstack.configuration.consensus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import sandstack.configuration.AgreedChange;
import sandstack.configuration.ConfigurationSnapshot;
import sandstack.configuration.ConfigurationVersion;

/**
 * Watches what machines tell of and what clients are answered, and notes each breach: one order everywhere without gaps,
 * nothing told before a majority of the disks holds it, each change once, answers that are true.
 */
final class AgreementChecker {
    final List<String> breaches = new ArrayList<>();
    private final Map<Long, AgreedChange> order = new HashMap<>();
    private final Map<String, Long> indexOfChange = new HashMap<>();
    private final Map<String, ConfigurationVersion> answeredAgreed = new HashMap<>();
    private final Set<String> answeredRefused = new HashSet<>();
    private final Set<String> maybe = new HashSet<>();
    private final Set<String> asked = new HashSet<>();

    /** One life of a machine's state machine. */
    final class Life {
        private final ControlIdentity machine;
        private ConfigurationVersion last = ConfigurationVersion.NONE;

        Life(ControlIdentity machine) {
            this.machine = machine;
        }

        void agreed(AgreedChange change, BooleanSupplier majorityHolds) {
            if (!change.version().follows(last)) {
                breach(machine + " was told " + change.version() + " after " + last);
            }
            last = change.version();
            AgreedChange first = order.putIfAbsent(last.index(), change);
            if (first != null) {
                requireEqual(machine, first, change);
                return;
            }
            if (!majorityHolds.getAsBoolean()) {
                breach(machine + " was told " + last + " before a majority of the disks held it");
            }
            Long earlier = indexOfChange.putIfAbsent(change.change().reason(), last.index());
            if (earlier != null) {
                breach(change.change().reason() + " was applied at " + earlier + " and " + last);
            }
        }

        void restored(ConfigurationSnapshot snapshot) {
            last = snapshot.version();
            AgreedChange known = order.get(last.index());
            if (known == null
                    || !known.version().equals(last)
                    || !known.digest().equals(snapshot.digest())) {
                breach(machine + " was restored to " + snapshot + ", the order has " + known);
            }
        }
    }

    void asked(String change) {
        asked.add(change);
    }

    void answered(String change, ProposalOutcome outcome) {
        if (outcome instanceof ProposalOutcome.Agreed agreed) {
            ConfigurationVersion before = answeredAgreed.putIfAbsent(change, agreed.version());
            if (before != null && !before.equals(agreed.version())) {
                breach(change + " was answered as " + before + " and " + agreed.version());
            }
        } else if (outcome instanceof ProposalOutcome.Refused refused) {
            switch (refused.refusal().reason()) {
                case NO_QUORUM, TOO_MANY -> {}
                default -> answeredRefused.add(change);
            }
        } else if (outcome instanceof ProposalOutcome.Indeterminate) {
            maybe.add(change);
        }
    }

    /** Once all is calm: an unanswered attempt counts as indeterminate. */
    void finish(Set<String> unanswered) {
        maybe.addAll(unanswered);
        answeredAgreed.forEach((change, version) -> {
            AgreedChange there = order.get(version.index());
            if (there == null
                    || !there.version().equals(version)
                    || !there.change().reason().equals(change)) {
                breach(change + " was answered as " + version + ", the order has " + there);
            }
        });
        for (String change : answeredRefused) {
            if (indexOfChange.containsKey(change)) {
                breach(change + " was refused and is in the order");
            }
        }
        for (String change : indexOfChange.keySet()) {
            if (!asked.contains(change)) {
                breach(change + " is in the order and nobody asked for it");
            }
            if (!answeredAgreed.containsKey(change) && !maybe.contains(change)) {
                breach(change + " is in the order and was never told as agreed or indeterminate");
            }
        }
    }

    /** Changes in the order. */
    int agreedChanges() {
        return order.size();
    }

    int answeredAgreed() {
        return answeredAgreed.size();
    }

    private void requireEqual(ControlIdentity machine, AgreedChange first, AgreedChange told) {
        if (!first.equals(told)) {
            breach(machine + " was told " + told + " where another was told " + first);
        }
    }

    private void breach(String what) {
        if (breaches.size() < 20) {
            breaches.add(what);
        }
    }
}
