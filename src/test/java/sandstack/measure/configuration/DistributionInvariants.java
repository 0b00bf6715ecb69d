package sandstack.measure.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import sandstack.configuration.ConfigurationSnapshot;

/** Checks every snapshot that a relay activates against the invariants of the distribution. */
final class DistributionInvariants {
    private final ModelledConsensus consensus;
    private final List<String> violations = new ArrayList<>();
    private final Map<HollowRelay, Activation> lastActivations = new HashMap<>();
    private long checkedStates;

    /** The last activation of a relay. */
    private static final class Activation {
        long incarnation;
        long index;
    }

    DistributionInvariants(HollowConfigurationFleet fleet) {
        this.consensus = fleet.consensus();
        fleet.relays().forEach(relay -> relay.setActivationListener(this::onActivated));
    }

    /** Called when a relay activated a snapshot. */
    void onActivated(HollowRelay relay, ConfigurationSnapshot snapshot) {
        checkedStates++;
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
            violations.add(relay.name() + " has " + snapshot.version() + ", which was not agreed");
        } else if (!committed.get().equals(snapshot)) {
            violations.add(relay.name() + " has another state at " + snapshot.version() + " than was agreed");
        }
    }

    /** Called after a relay's disk was changed: its next incarnation may start with an older snapshot. */
    void onDiskChanged(HollowRelay relay) {
        lastActivations.computeIfAbsent(relay, r -> new Activation()).index = 0;
    }

    /** Called when all relays have to have converged. */
    void checkConverged(HollowConfigurationFleet fleet) {
        ConfigurationSnapshot committed = consensus.current();
        for (HollowRelay relay : fleet.relays()) {
            ConfigurationSnapshot active = relay.follower().activeSnapshot();
            if (!active.equals(committed)) {
                violations.add(
                        relay.name() + " has " + active.version() + " in the end, agreed is " + committed.version()
                                + "; it follows " + relay.follower().status());
            }
        }
    }

    /** The violations in the order of detection. */
    List<String> violations() {
        return violations;
    }

    /** Number of checked snapshots. */
    long checkedStates() {
        return checkedStates;
    }
}
