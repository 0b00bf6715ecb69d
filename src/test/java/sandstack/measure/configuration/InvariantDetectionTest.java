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

/**
 * {@link DistributionInvariants} detects deliberate errors of a follower or publisher. {@link ConfigurationFaultsTest}
 * runs the same schedules without them.
 */
class InvariantDetectionTest {
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final int SCHEDULES = 20;

    /** An incorrect follower, which applies received changes without the checks of the real one. */
    private static final class UncheckedFollower {
        private final HollowConfigurationRelay relay;
        private final DistributionInvariants invariants;
        private final boolean acceptsOlderChanges;
        private final Map<String, String> entries = new TreeMap<>();
        private long index;

        UncheckedFollower(
                HollowConfigurationRelay relay, DistributionInvariants invariants, boolean acceptsOlderChanges) {
            this.relay = relay;
            this.invariants = invariants;
            this.acceptsOlderChanges = acceptsOlderChanges;
        }

        void received(ConfigurationMessage message) {
            if (message instanceof Deltas deltas) {
                deltas.changes().forEach(this::apply);
            }
        }

        private void apply(CommittedChange committed) {
            if (!acceptsOlderChanges && committed.version().index() <= index) {
                return;
            }
            index = committed.version().index();
            for (ConfigurationEdit edit : committed.change().edits()) {
                if (edit instanceof Put put) {
                    entries.put(put.key(), put.value());
                } else {
                    entries.remove(edit.key());
                }
            }
            invariants.onActivated(
                    relay,
                    ConfigurationSnapshot.of(
                            committed.version(), committed.change().formatVersion(), entries));
        }
    }

    private static long countDetectingSchedules(boolean acceptsOlderChanges, String message) {
        long detecting = 0;
        for (long seed = 1; seed <= SCHEDULES; seed++) {
            DistributionFaultSchedule faults = new DistributionFaultSchedule(seed);
            HollowConfigurationRelay relay = faults.fleet().relays().get(0);
            relay.setActivationListener((r, snapshot) -> {});
            UncheckedFollower follower = new UncheckedFollower(relay, faults.invariants(), acceptsOlderChanges);
            relay.setMessageListener(follower::received);
            faults.run();
            boolean detected = faults.invariants().violations().stream().anyMatch(line -> line.contains(message));
            assertThat(faults.invariants().violations()).allMatch(line -> line.startsWith(relay.name() + " "));
            detecting += detected ? 1 : 0;
        }
        return detecting;
    }

    @Test
    void detectsFollowerThatSkipsChanges() {
        assertThat(countDetectingSchedules(false, "has another state")).isGreaterThan(SCHEDULES / 2);
    }

    @Test
    void detectsFollowerThatAppliesOlderChanges() {
        // detectable only in schedules in which an older message arrives late or twice
        assertThat(countDetectingSchedules(true, " went from ")).isGreaterThanOrEqualTo(SCHEDULES / 4);
    }

    /** Split brain: a control machine publishes a change that no quorum has committed. */
    @Test
    void detectsPublisherOfUncommittedChange() {
        HollowConfigurationFleet fleet = new HollowConfigurationFleet(HollowConfigurationFleet.Plan.of(8, 5, 3));
        DistributionInvariants invariants = new DistributionInvariants(fleet);
        fleet.startAll();
        fleet.clock().advance(2 * MICROS_PER_SECOND);
        fleet.consensus().propose(fleet.machines().get(0), List.of(new Put("a", "1")));
        fleet.clock().advance(2 * MICROS_PER_SECOND);
        assertThat(invariants.violations()).isEmpty();
        HollowControlMachine machine = fleet.machines().stream()
                .filter(each -> each.publisher().sessionCount() > 0)
                .findFirst()
                .orElseThrow();
        machine.publisher().committed(uncommittedChange(fleet.consensus().current()));
        fleet.clock().advance(MICROS_PER_SECOND);
        assertThat(invariants.violations()).isNotEmpty().allMatch(line -> line.endsWith("which was not committed"));
    }

    private static CommittedChange uncommittedChange(ConfigurationSnapshot current) {
        ConfigurationChange change =
                ConfigurationChange.of(current.version(), "nobody", "not committed", List.of(new Put("a", "2")));
        ConfigurationVersion version = current.version().next(9);
        ConfigurationDigest digest = current.apply(version, change).digest();
        return new CommittedChange(version, change, digest);
    }

    /** A relay that receives no message fails the convergence check. */
    @Test
    void detectsRelayThatDoesNotConverge() {
        HollowConfigurationFleet fleet = new HollowConfigurationFleet(HollowConfigurationFleet.Plan.of(8, 5, 3));
        DistributionInvariants invariants = new DistributionInvariants(fleet);
        HollowConfigurationRelay unreachable = fleet.relays().get(5);
        fleet.setFaults(new NetworkFaults() {
            @Override
            public boolean canReach(HollowProcess from, HollowProcess to) {
                return to != unreachable;
            }
        });
        fleet.startAll();
        fleet.consensus().propose(fleet.machines().get(0), List.of(new Put("a", "1")));
        fleet.clock().advance(DistributionFaultSchedule.CONVERGENCE_TIMEOUT_MICROS);
        invariants.checkConverged(fleet);
        assertThat(invariants.violations()).hasSize(1).allMatch(line -> line.startsWith("relay-5 has 0/0 at the end"));
    }
}
