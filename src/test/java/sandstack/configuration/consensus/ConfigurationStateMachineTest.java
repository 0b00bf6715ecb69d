package sandstack.configuration.consensus;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import sandstack.configuration.ChangeRejection.Reason;
import sandstack.configuration.CommittedChange;
import sandstack.configuration.CommittedChangeListener;
import sandstack.configuration.ConfigurationChange;
import sandstack.configuration.ConfigurationCodec;
import sandstack.configuration.ConfigurationEdit;
import sandstack.configuration.ConfigurationLimits;
import sandstack.configuration.ConfigurationSnapshot;
import sandstack.configuration.ConfigurationVersion;

/** Checks how log entries and snapshots change the state machine. */
class ConfigurationStateMachineTest {
    private static final ConfigurationCodec CODEC = new ConfigurationCodec(ConfigurationLimits.DEFAULT);

    private final List<CommittedChange> committed = new ArrayList<>();
    private final List<ConfigurationSnapshot> restored = new ArrayList<>();
    private final ConfigurationStateMachine machine = machine();
    private long index;

    private ConfigurationStateMachine machine() {
        CommittedChangeListener listener = new CommittedChangeListener() {
            @Override
            public void committed(CommittedChange change) {
                committed.add(change);
            }

            @Override
            public void restored(ConfigurationSnapshot snapshot) {
                restored.add(snapshot);
            }
        };
        return new ConfigurationStateMachine(SimulatedMachine.VALIDATOR, listener, () -> 9);
    }

    private static LogOperation.Proposal put(long id, ConfigurationVersion base, String key, String value) {
        ConfigurationChange change =
                ConfigurationChange.of(base, "ann", "test", List.of(new ConfigurationEdit.Put(key, value)));
        return new LogOperation.Proposal(new IdempotencyKey(0, id), CODEC.encode(change));
    }

    private Object run(LogOperation operation) {
        return machine.runOperation(++index, operation);
    }

    private static List<Object> snapshotOf(ConfigurationStateMachine machine) {
        List<Object> chunks = new ArrayList<>();
        machine.takeSnapshot(1, chunks::add);
        return chunks;
    }

    @Test
    void changeHasTheTermOfThePrecedingNewTermEntry() {
        run(new LogOperation.NewTerm(4));
        Object outcome = run(put(1, ConfigurationVersion.NONE, "a", "1"));
        assertThat(outcome).isEqualTo(new ProposalOutcome.Committed(new ConfigurationVersion(4, 1)));
        assertThat(committed).hasSize(1);
        assertThat(committed.get(0).version()).isEqualTo(new ConfigurationVersion(4, 1));
        assertThat(machine.getNewTermOperation()).isEqualTo(new LogOperation.NewTerm(9));
    }

    @Test
    void invalidProposalChangesNothing() {
        run(new LogOperation.NewTerm(1));
        run(put(1, ConfigurationVersion.NONE, "a", "1"));
        ConfigurationSnapshot before = machine.current();
        ProposalOutcome conflicting = (ProposalOutcome) run(put(2, ConfigurationVersion.NONE, "a", "2"));
        ProposalOutcome malformed =
                (ProposalOutcome) run(new LogOperation.Proposal(new IdempotencyKey(0, 3), new byte[] {1}));
        assertThat(((ProposalOutcome.Rejected) conflicting).rejection().reason())
                .isEqualTo(Reason.CONFLICTING_BASE);
        assertThat(((ProposalOutcome.Rejected) malformed).rejection().reason()).isEqualTo(Reason.MALFORMED);
        assertThat(machine.current()).isEqualTo(before);
        assertThat(committed).hasSize(1);
    }

    @Test
    void snapshotCarriesStateTermAndKeysInBoundedChunks() {
        run(new LogOperation.NewTerm(2));
        String large = "x".repeat(60_000);
        for (int i = 0; i < 15; i++) {
            run(put(i, machine.current().version(), "key-" + i, large));
        }
        List<Object> chunks = snapshotOf(machine);
        assertThat(chunks).hasSizeGreaterThan(10).allSatisfy(chunk -> assertThat(((StateChunk) chunk).bytes())
                .hasSizeLessThanOrEqualTo(ConfigurationStateMachine.MAX_CHUNK_BYTES));
        ConfigurationStateMachine other = machine();
        other.installSnapshot(16, chunks);
        assertThat(other.current()).isEqualTo(machine.current());
        assertThat(restored).containsExactly(machine.current());
        LogOperation.Proposal repeated = put(3, ConfigurationVersion.NONE, "key-3", large);
        assertThat(other.runOperation(17, repeated)).isEqualTo(machine.runOperation(17, repeated));
        LogOperation.Proposal next = put(99, machine.current().version(), "a", "1");
        assertThat(other.runOperation(18, next))
                .isEqualTo(machine.runOperation(18, next))
                .isEqualTo(new ProposalOutcome.Committed(new ConfigurationVersion(2, 16)));
        assertThat(snapshotOf(other)).isEqualTo(snapshotOf(machine));
    }

    @Test
    void damagedSnapshotIsNotInstalled() {
        run(new LogOperation.NewTerm(2));
        run(put(1, ConfigurationVersion.NONE, "a", "1"));
        byte[] encodedState = ((StateChunk) snapshotOf(machine).get(0)).bytes();
        encodedState[encodedState.length - 1]++;
        ConfigurationStateMachine other = machine();
        assertThatThrownBy(() -> other.installSnapshot(2, List.of(new StateChunk(encodedState))))
                .isInstanceOf(UnusableSnapshotException.class)
                .hasMessageContaining("do not match their digest");
        assertThat(other.current()).isEqualTo(ConfigurationSnapshot.EMPTY);
    }

    /** A retry under a dropped key is rejected because of its base version, so that no change is applied twice. */
    @Test
    void onlyTheLatestKeysAreRetained() {
        run(new LogOperation.NewTerm(1));
        LogOperation.Proposal first = put(0, ConfigurationVersion.NONE, "a", "0");
        run(first);
        for (int i = 1; i <= ConfigurationStateMachine.MAX_RETAINED_PROPOSALS; i++) {
            run(put(i, machine.current().version(), "a", "" + i));
        }
        ProposalOutcome retryOutcome = (ProposalOutcome) run(first);
        assertThat(((ProposalOutcome.Rejected) retryOutcome).rejection().reason())
                .isEqualTo(Reason.CONFLICTING_BASE);
        assertThat(machine.committedVersionOf(new IdempotencyKey(0, 1))).isPresent();
    }
}
