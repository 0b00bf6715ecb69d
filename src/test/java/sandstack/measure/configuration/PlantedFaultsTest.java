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

/** The invariants detect planted faults of a follower or publisher; the same schedules pass without them. */
class PlantedFaultsTest {
    private static final long SECOND = 1_000_000;
    private static final int SCHEDULES = 20;

    /** Applies the changes that a relay receives without the checks of the real follower. */
    private static final class CarelessFollower {
        private final HollowRelay relay;
        private final DistributionInvariants invariants;
        private final boolean goesBack;
        private final Map<String, String> entries = new TreeMap<>();
        private long index;

        CarelessFollower(HollowRelay relay, DistributionInvariants invariants, boolean goesBack) {
            this.relay = relay;
            this.invariants = invariants;
            this.goesBack = goesBack;
        }

        void received(ConfigurationMessage message) {
            if (message instanceof Deltas deltas) {
                deltas.changes().forEach(this::apply);
            }
        }

        private void apply(CommittedChange agreed) {
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
            invariants.onActivated(
                    relay,
                    ConfigurationSnapshot.of(agreed.version(), agreed.change().formatVersion(), entries));
        }
    }

    private static long schedulesFound(boolean goesBack, String message) {
        long found = 0;
        for (long seed = 1; seed <= SCHEDULES; seed++) {
            RandomFaultSchedule faults = new RandomFaultSchedule(seed);
            HollowRelay relay = faults.fleet().relays().get(0);
            relay.setActivationListener((r, snapshot) -> {});
            CarelessFollower careless = new CarelessFollower(relay, faults.invariants(), goesBack);
            relay.setMessageListener(careless::received);
            faults.run();
            boolean detected = faults.invariants().violations().stream().anyMatch(line -> line.contains(message));
            assertThat(faults.invariants().violations()).allMatch(line -> line.startsWith(relay.name() + " "));
            found += detected ? 1 : 0;
        }
        return found;
    }

    @Test
    void aFollowerThatAppliesAGapIsFound() {
        assertThat(schedulesFound(false, "has another state")).isGreaterThan(SCHEDULES / 2);
    }

    @Test
    void aFollowerThatGoesBackIsFound() {
        // detectable only if an older message arrives late or twice
        assertThat(schedulesFound(true, " went from ")).isGreaterThanOrEqualTo(SCHEDULES / 4);
    }

    /** Split brain: a machine publishes a change that no quorum committed. */
    @Test
    void aPublisherThatSendsWhatWasNotAgreedIsFound() {
        HollowConfigurationFleet fleet = new HollowConfigurationFleet(HollowConfigurationFleet.Plan.of(8, 5, 3));
        DistributionInvariants invariants = new DistributionInvariants(fleet);
        fleet.startAll();
        fleet.clock().advance(2 * SECOND);
        fleet.consensus().propose(fleet.machines().get(0), List.of(new Put("a", "1")));
        fleet.clock().advance(2 * SECOND);
        assertThat(invariants.violations()).isEmpty();
        HollowControlMachine machine = fleet.machines().stream()
                .filter(each -> each.publisher().sessionCount() > 0)
                .findFirst()
                .orElseThrow();
        machine.publisher().committed(forged(fleet.consensus().current()));
        fleet.clock().advance(SECOND);
        assertThat(invariants.violations()).isNotEmpty().allMatch(line -> line.endsWith("which was not agreed"));
    }

    private static CommittedChange forged(ConfigurationSnapshot current) {
        ConfigurationChange change =
                ConfigurationChange.of(current.version(), "nobody", "not agreed", List.of(new Put("a", "2")));
        ConfigurationVersion version = current.version().next(9);
        ConfigurationDigest digest = current.apply(version, change).digest();
        return new CommittedChange(version, change, digest);
    }

    /** A relay that no message reaches fails the convergence check. */
    @Test
    void aRelayThatStaysBehindIsFound() {
        HollowConfigurationFleet fleet = new HollowConfigurationFleet(HollowConfigurationFleet.Plan.of(8, 5, 3));
        DistributionInvariants invariants = new DistributionInvariants(fleet);
        HollowRelay unreachable = fleet.relays().get(5);
        fleet.setFaults(new NetworkFaults() {
            @Override
            public boolean canReach(HollowProcess from, HollowProcess to) {
                return to != unreachable;
            }
        });
        fleet.startAll();
        fleet.consensus().propose(fleet.machines().get(0), List.of(new Put("a", "1")));
        fleet.clock().advance(RandomFaultSchedule.CONVERGENCE_TIMEOUT_MICROS);
        invariants.checkConverged(fleet);
        assertThat(invariants.violations()).hasSize(1).allMatch(line -> line.startsWith("relay-5 has 0/0 in the end"));
    }
}
