package sandstack.measure.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import sandstack.configuration.CommittedChange;
import sandstack.configuration.ConfigurationChange;
import sandstack.configuration.ConfigurationDigest;
import sandstack.configuration.ConfigurationEdit;
import sandstack.configuration.ConfigurationEdit.Put;
import sandstack.configuration.ConfigurationMessage;
import sandstack.configuration.ConfigurationMessage.Deltas;
import sandstack.configuration.ConfigurationSnapshot;
import sandstack.configuration.ConfigurationVersion;

/** The checker finds faults that were put in on purpose; without them the same schedules are clean. */
class PlantedFaultsTest {
    private static final long SECOND = 1_000_000;
    private static final int SCHEDULES = 20;

    /** Takes the changes that a relay hears, without the care of the real follower. */
    private static final class CarelessFollower {
        private final HollowRelay relay;
        private final DistributionRules rules;
        private final boolean goesBack;
        private final Map<String, String> entries = new TreeMap<>();
        private long index;

        CarelessFollower(HollowRelay relay, DistributionRules rules, boolean goesBack) {
            this.relay = relay;
            this.rules = rules;
            this.goesBack = goesBack;
        }

        void hear(ConfigurationMessage message) {
            if (message instanceof Deltas deltas) {
                deltas.changes().forEach(this::take);
            }
        }

        private void take(CommittedChange agreed) {
            if (!goesBack && agreed.version().index() <= index) {
                return;
            }
            index = agreed.version().index();
            for (ConfigurationEdit edit : agreed.change().edits()) {
                if (edit instanceof Put put) {
                    entries.put(put.key(), put.value());
                } else {
                    entries.remove(edit.key());
                }
            }
            rules.inForce(
                    relay,
                    ConfigurationSnapshot.of(agreed.version(), agreed.change().formatVersion(), entries));
        }
    }

    private static long schedulesFound(boolean goesBack, String message) {
        long found = 0;
        for (long seed = 1; seed <= SCHEDULES; seed++) {
            DrawnFaults faults = new DrawnFaults(seed);
            HollowRelay relay = faults.fleet().relays().get(0);
            relay.setActivationListener((r, snapshot) -> {});
            CarelessFollower careless = new CarelessFollower(relay, faults.rules(), goesBack);
            relay.setMessageListener(careless::hear);
            faults.play();
            boolean here = faults.rules().broken().stream().anyMatch(line -> line.contains(message));
            assertThat(faults.rules().broken()).allMatch(line -> line.startsWith(relay.name() + " "));
            found += here ? 1 : 0;
        }
        return found;
    }

    @Test
    void aFollowerThatAppliesAGapIsFound() {
        assertThat(schedulesFound(false, "has another state")).isGreaterThan(SCHEDULES / 2);
    }

    @Test
    void aFollowerThatGoesBackIsFound() {
        // it shows only where an older message arrives late or twice: ten of these schedules when this was written
        assertThat(schedulesFound(true, " went from ")).isGreaterThanOrEqualTo(SCHEDULES / 4);
    }

    /** A half that believes itself whole: its machine sends what no quorum agreed on. */
    @Test
    void aPublisherThatSendsWhatWasNotAgreedIsFound() {
        HollowConfigurationFleet fleet = new HollowConfigurationFleet(HollowConfigurationFleet.Plan.of(8, 5, 3));
        DistributionRules rules = new DistributionRules(fleet);
        fleet.startAll();
        fleet.clock().advance(2 * SECOND);
        fleet.consensus().propose(fleet.machines().get(0), List.of(new Put("a", "1")));
        fleet.clock().advance(2 * SECOND);
        assertThat(rules.broken()).isEmpty();
        HollowControlMachine believer = fleet.machines().stream()
                .filter(machine -> machine.publisher().sessionCount() > 0)
                .findFirst()
                .orElseThrow();
        believer.publisher().committed(forged(fleet.consensus().current()));
        fleet.clock().advance(SECOND);
        assertThat(rules.broken()).isNotEmpty().allMatch(line -> line.endsWith("which was not agreed"));
    }

    private static CommittedChange forged(ConfigurationSnapshot current) {
        ConfigurationChange change =
                ConfigurationChange.of(current.version(), "nobody", "not agreed", List.of(new Put("a", "2")));
        ConfigurationVersion version = current.version().next(9);
        ConfigurationDigest digest = current.apply(version, change).digest();
        return new CommittedChange(version, change, digest);
    }

    /** The end of a schedule is looked at as well: a relay that nobody reaches is told. */
    @Test
    void aRelayThatStaysBehindIsFound() {
        HollowConfigurationFleet fleet = new HollowConfigurationFleet(HollowConfigurationFleet.Plan.of(8, 5, 3));
        DistributionRules rules = new DistributionRules(fleet);
        HollowRelay deaf = fleet.relays().get(5);
        fleet.setFaults(new NetworkFaults() {
            @Override
            public boolean canReach(HollowProcess from, HollowProcess to) {
                return to != deaf;
            }
        });
        fleet.startAll();
        fleet.consensus().propose(fleet.machines().get(0), List.of(new Put("a", "1")));
        fleet.clock().advance(DrawnFaults.EQUAL_WITHIN);
        rules.settled(fleet);
        assertThat(rules.broken()).hasSize(1).allMatch(line -> line.startsWith("relay-5 has 0/0 in the end"));
    }
}
