package sandstack.measure.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import sandstack.configuration.ConfigurationSnapshot;

/** Looks at every state that a relay puts in force and tells what breaks the promises of the distribution. */
final class DistributionRules {
    private final ModelledConsensus consensus;
    private final List<String> broken = new ArrayList<>();
    private final Map<HollowRelay, Seen> seen = new HashMap<>();
    private long states;

    /** The last state of a relay. */
    private static final class Seen {
        long life;
        long index;
    }

    DistributionRules(HollowConfigurationFleet fleet) {
        this.consensus = fleet.consensus();
        fleet.relays().forEach(relay -> relay.setActivationListener(this::inForce));
    }

    /** A relay put a state in force. */
    void inForce(HollowRelay relay, ConfigurationSnapshot snapshot) {
        states++;
        long index = snapshot.version().index();
        Seen before = seen.computeIfAbsent(relay, r -> new Seen());
        if (before.life == relay.incarnation() && index <= before.index) {
            broken.add(relay.name() + " went from " + before.index + " to " + index);
        }
        if (before.life != relay.incarnation() && index < before.index) {
            broken.add(relay.name() + " started with " + index + ", its disk had " + before.index);
        }
        before.life = relay.incarnation();
        before.index = index;
        Optional<ConfigurationSnapshot> agreed = consensus.state(index);
        if (agreed.isEmpty()) {
            broken.add(relay.name() + " has " + snapshot.version() + ", which was not agreed");
        } else if (!agreed.get().equals(snapshot)) {
            broken.add(relay.name() + " has another state at " + snapshot.version() + " than was agreed");
        }
    }

    /** The disk of a relay no longer holds what was stored: its next life may begin earlier. */
    void diskChanged(HollowRelay relay) {
        seen.computeIfAbsent(relay, r -> new Seen()).index = 0;
    }

    /** All faults are over for as long as it may take. */
    void settled(HollowConfigurationFleet fleet) {
        ConfigurationSnapshot last = consensus.current();
        for (HollowRelay relay : fleet.relays()) {
            ConfigurationSnapshot there = relay.follower().activeSnapshot();
            if (!there.equals(last)) {
                broken.add(relay.name() + " has " + there.version() + " in the end, agreed is " + last.version()
                        + "; it follows " + relay.follower().status());
            }
        }
    }

    /** What was found, in the order in which it was. */
    List<String> broken() {
        return broken;
    }

    /** States that were looked at. */
    long states() {
        return states;
    }
}
