package sandstack.measure.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import sandstack.configuration.ConfigurationSnapshot;

/**
 * Checks every snapshot that a relay activates against the invariants of configuration distribution: each activated
 * snapshot was committed, the index of a relay's snapshots increases within an incarnation, and the first index of the
 * next incarnation is not lower than the last one, except after a fault of the relay's disk.
 */
final class DistributionInvariants {
    private final ModelledConsensus consensus;
    private final List<String> violations = new ArrayList<>();
    private final Map<HollowConfigurationRelay, Activation> lastActivations = new HashMap<>();
    private long checkedSnapshots;

    /** The last activation of a relay. */
    private static final class Activation {
        long incarnation;
        long index;
    }

    DistributionInvariants(HollowConfigurationFleet fleet) {
        this.consensus = fleet.consensus();
        fleet.relays().forEach(relay -> relay.setActivationListener(this::onActivated));
    }

    /** Checks a snapshot that a relay has activated. */
    void onActivated(HollowConfigurationRelay relay, ConfigurationSnapshot snapshot) {
        checkedSnapshots++;
        long index = snapshot.version().index();
        Activation last = lastActivations.computeIfAbsent(relay, r -> new Activation());
        if (last.incarnation == relay.incarnation() && index <= last.index) {
            violations.add(relay.name() + " went from " + last.index + " to " + index);
        }
        if (last.incarnation != relay.incarnation() && index < last.index) {
            violations.add(relay.name() + " started with " + index + ", its disk had " + last.index);
        }
        last.incarnation = relay.incarnation();
        last.index = index;
        Optional<ConfigurationSnapshot> committed = consensus.state(index);
        if (committed.isEmpty()) {
            violations.add(relay.name() + " has " + snapshot.version() + ", which was not committed");
        } else if (!committed.get().equals(snapshot)) {
            violations.add(relay.name() + " has another state at " + snapshot.version() + " than was committed");
        }
    }

    /** Must be called after a fault of a relay's disk; its next incarnation may start with an older snapshot. */
    void onDiskChanged(HollowConfigurationRelay relay) {
        lastActivations.computeIfAbsent(relay, r -> new Activation()).index = 0;
    }

    /** Checks that the last committed snapshot is active at every relay. */
    void checkConverged(HollowConfigurationFleet fleet) {
        ConfigurationSnapshot committed = consensus.current();
        for (HollowConfigurationRelay relay : fleet.relays()) {
            ConfigurationSnapshot active = relay.follower().activeSnapshot();
            if (!active.equals(committed)) {
                violations.add(
                        relay.name() + " has " + active.version() + " at the end, committed is " + committed.version()
                                + "; follower status " + relay.follower().status());
            }
        }
    }

    /** The violations in the order of detection. */
    List<String> violations() {
        return violations;
    }

    /** Number of checked snapshots. */
    long checkedSnapshots() {
        return checkedSnapshots;
    }
}
