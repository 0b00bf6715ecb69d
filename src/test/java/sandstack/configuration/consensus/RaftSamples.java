package sandstack.configuration.consensus;

import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.RaftMessage;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sandstack.configuration.ConfigurationChange;
import sandstack.configuration.ConfigurationCodec;
import sandstack.configuration.ConfigurationEdit;
import sandstack.configuration.ConfigurationLimits;
import sandstack.configuration.ConfigurationVersion;
import sandstack.configuration.FixtureFile;

/**
 * What Raft stores and sends, one of each kind. {@code main} writes the bytes, a store on disk and the traces of
 * simulated clusters with the build on the class path; the fixtures were made by this class as it was in the commit
 * that added them, compiled against the build that they name.
 */
final class RaftSamples {
    static final String MESSAGES = "raft-messages.txt";
    static final String STATE = "raft-state-machine.txt";
    static final String TRACES = "raft-traces.txt";
    static final String STORE = "raft-store.mv";
    /** The last two are regression seeds of {@link RandomFaultSchedulesTest}. */
    static final List<Long> TRACED_SEEDS = List.of(1L, 2L, 3L, 4L, 1081L, 20242L);

    static final String GROUP = "configuration";
    static final String NEW_IDENTITY_SETTING = "new_identity";
    static final ControlIdentity SELF = new ControlIdentity("control-0");
    static final ControlIdentity OTHER = new ControlIdentity("control_1.b");
    static final int SNAPSHOT_INDEX = 6;

    private static final DefaultRaftModelFactory MODELS = new DefaultRaftModelFactory();
    private static final int TERM = 4;

    private RaftSamples() {}

    static RaftGroupMembersView members() {
        return MODELS.createRaftGroupMembersViewBuilder()
                .setLogIndex(3)
                .setMembers(List.<RaftEndpoint>of(SELF, OTHER))
                .setVotingMembers(List.<RaftEndpoint>of(SELF))
                .build();
    }

    /** An entry for each operation, and one for each mode of a change of members. */
    static List<LogEntry> entries() {
        List<Object> operations = new ArrayList<>();
        operations.add(new LogOperation.NewTerm(TERM));
        operations.add(proposal(1, ConfigurationVersion.NONE, "a"));
        for (MembershipChangeMode mode : MembershipChangeMode.values()) {
            operations.add(MODELS.createUpdateRaftGroupMembersOpBuilder()
                    .setMembers(List.<RaftEndpoint>of(SELF, OTHER))
                    .setVotingMembers(List.<RaftEndpoint>of(SELF))
                    .setEndpoint(OTHER)
                    .setMode(mode)
                    .build());
        }
        List<LogEntry> entries = new ArrayList<>();
        for (Object operation : operations) {
            entries.add(MODELS.createLogEntryBuilder()
                    .setIndex(SNAPSHOT_INDEX + 1 + entries.size())
                    .setTerm(TERM)
                    .setOperation(operation)
                    .build());
        }
        return entries;
    }

    static SnapshotChunk chunk(int index) {
        return MODELS.createSnapshotChunkBuilder()
                .setIndex(SNAPSHOT_INDEX)
                .setTerm(TERM - 1)
                .setSnapshotChunkIndex(index)
                .setSnapshotChunkCount(2)
                .setOperation(new StateChunk(new byte[] {5, (byte) index}))
                .setGroupMembersView(members())
                .build();
    }

    /** Every message that control machines send. */
    static Map<String, RaftMessage> messages() {
        Map<String, RaftMessage> messages = new LinkedHashMap<>();
        addLogMessages(messages);
        addElectionMessages(messages);
        return messages;
    }

    private static void addLogMessages(Map<String, RaftMessage> messages) {
        messages.put("append-entries", appendEntries());
        messages.put(
                "append-entries-success",
                MODELS.createAppendEntriesSuccessResponseBuilder()
                        .setGroupId(GROUP)
                        .setSender(OTHER)
                        .setTerm(TERM)
                        .setLastLogIndex(11)
                        .setQuerySequenceNumber(12)
                        .setFlowControlSequenceNumber(13)
                        .build());
        messages.put(
                "append-entries-failure",
                MODELS.createAppendEntriesFailureResponseBuilder()
                        .setGroupId(GROUP)
                        .setSender(OTHER)
                        .setTerm(TERM)
                        .setExpectedNextIndex(14)
                        .setQuerySequenceNumber(15)
                        .setFlowControlSequenceNumber(16)
                        .build());
        messages.put("install-snapshot", installSnapshot(chunk(1)));
        messages.put("install-snapshot-without-chunk", installSnapshot(null));
        messages.put(
                "install-snapshot-response",
                MODELS.createInstallSnapshotResponseBuilder()
                        .setGroupId(GROUP)
                        .setSender(OTHER)
                        .setTerm(TERM)
                        .setSnapshotIndex(17)
                        .setRequestedSnapshotChunkIndex(18)
                        .setQuerySequenceNumber(19)
                        .setFlowControlSequenceNumber(20)
                        .build());
    }

    private static void addElectionMessages(Map<String, RaftMessage> messages) {
        messages.put(
                "pre-vote",
                MODELS.createPreVoteRequestBuilder()
                        .setGroupId(GROUP)
                        .setSender(SELF)
                        .setTerm(TERM)
                        .setLastLogTerm(3)
                        .setLastLogIndex(21)
                        .build());
        messages.put(
                "pre-vote-response",
                MODELS.createPreVoteResponseBuilder()
                        .setGroupId(GROUP)
                        .setSender(OTHER)
                        .setTerm(TERM)
                        .setGranted(true)
                        .build());
        messages.put(
                "vote",
                MODELS.createVoteRequestBuilder()
                        .setGroupId(GROUP)
                        .setSender(SELF)
                        .setTerm(TERM)
                        .setLastLogTerm(3)
                        .setLastLogIndex(22)
                        .setSticky(true)
                        .build());
        messages.put(
                "vote-response",
                MODELS.createVoteResponseBuilder()
                        .setGroupId(GROUP)
                        .setSender(OTHER)
                        .setTerm(TERM)
                        .setGranted(false)
                        .build());
        messages.put(
                "trigger-election",
                MODELS.createTriggerLeaderElectionRequestBuilder()
                        .setGroupId(GROUP)
                        .setSender(SELF)
                        .setTerm(TERM)
                        .setLastLogTerm(3)
                        .setLastLogIndex(23)
                        .build());
    }

    private static RaftMessage appendEntries() {
        return MODELS.createAppendEntriesRequestBuilder()
                .setGroupId(GROUP)
                .setSender(SELF)
                .setTerm(TERM)
                .setPreviousLogTerm(3)
                .setPreviousLogIndex(7)
                .setCommitIndex(6)
                .setLogEntries(entries())
                .setQuerySequenceNumber(9)
                .setFlowControlSequenceNumber(10)
                .build();
    }

    private static RaftMessage installSnapshot(SnapshotChunk chunk) {
        return MODELS.createInstallSnapshotRequestBuilder()
                .setGroupId(GROUP)
                .setSender(SELF)
                .setTerm(TERM)
                .setSenderLeader(true)
                .setSnapshotTerm(3)
                .setSnapshotIndex(SNAPSHOT_INDEX)
                .setTotalSnapshotChunkCount(2)
                .setSnapshotChunk(chunk)
                .setSnapshottedMembers(List.<RaftEndpoint>of(SELF, OTHER))
                .setGroupMembersView(members())
                .setQuerySequenceNumber(24)
                .setFlowControlSequenceNumber(25)
                .build();
    }

    static Map<String, byte[]> encodedMessages() {
        RaftMessageCodec codec = new RaftMessageCodec(GROUP, ConfigurationLimits.DEFAULT);
        Map<String, byte[]> encoded = new LinkedHashMap<>();
        messages().forEach((name, message) -> encoded.put(name, codec.encode(message)));
        return encoded;
    }

    private static LogOperation.Proposal proposal(long id, ConfigurationVersion base, String key) {
        ConfigurationChange change =
                ConfigurationChange.of(base, "ann", "fixture", List.of(new ConfigurationEdit.Put(key, "value")));
        byte[] encoded = new ConfigurationCodec(ConfigurationLimits.DEFAULT).encode(change);
        return new LogOperation.Proposal(new IdempotencyKey(id, -id), encoded);
    }

    /** A state machine after one term and three proposals. */
    static ConfigurationStateMachine stateMachine() {
        ConfigurationStateMachine machine =
                new ConfigurationStateMachine(SimulatedMachine.VALIDATOR, new IgnoringListener(), () -> TERM);
        machine.runOperation(1, new LogOperation.NewTerm(TERM));
        for (long id = 1; id <= 3; id++) {
            machine.runOperation(1 + id, proposal(id, machine.current().version(), "key-" + id));
        }
        return machine;
    }

    /** The encoded state of a machine; it fits into one chunk. */
    static byte[] stateOf(ConfigurationStateMachine machine) {
        List<Object> chunks = new ArrayList<>();
        machine.takeSnapshot(4, chunks::add);
        return ((StateChunk) chunks.get(0)).bytes();
    }

    /** Writes a store with all that Raft remembers, and leaves it closed. */
    static void writeStore(Path file) throws IOException {
        try (MvStoreRaftStore store = MvStoreRaftStore.create(
                file.toString(), NEW_IDENTITY_SETTING, GROUP, SELF, ConfigurationLimits.DEFAULT)) {
            store.persistAndFlushLocalEndpoint(MODELS.createRaftEndpointPersistentStateBuilder()
                    .setLocalEndpoint(SELF)
                    .setVoting(true)
                    .build());
            store.persistAndFlushInitialGroupMembers(members());
            store.persistAndFlushTerm(MODELS.createRaftTermPersistentStateBuilder()
                    .setTerm(TERM)
                    .setVotedFor(OTHER)
                    .build());
            store.persistSnapshotChunk(chunk(0));
            store.persistSnapshotChunk(chunk(1));
            store.persistLogEntries(entries());
            store.flush();
        }
    }

    /** The messages of one cluster under drawn faults, and the state at each machine in the end. */
    static String trace(long seed) {
        RandomFaultSchedule schedule = new RandomFaultSchedule(seed);
        List<String> violations = schedule.run();
        StringBuilder states = new StringBuilder();
        schedule.cluster.machines.forEach(
                machine -> states.append(machine.node.current()).append(';'));
        return violations.size() + " breaches, " + schedule.cluster.checker.committedChanges() + " changes, "
                + schedule.cluster.network.traceDigest() + ", states "
                + Integer.toHexString(Arrays.hashCode(states.toString().toCharArray()));
    }

    /** Writes the fixtures into the folder that is named first, with the command and commit that is named second. */
    public static void main(String[] arguments) throws IOException {
        Path folder = Path.of(arguments[0]);
        String comment = arguments[1];
        FixtureFile.write(folder.resolve(MESSAGES), comment, FixtureFile.toHex(encodedMessages()));
        FixtureFile.write(folder.resolve(STATE), comment, FixtureFile.toHex(Map.of("state", stateOf(stateMachine()))));
        writeStore(folder.resolve(STORE));
        Map<String, String> traces = new LinkedHashMap<>();
        TRACED_SEEDS.forEach(seed -> traces.put("seed-" + seed, trace(seed)));
        FixtureFile.write(folder.resolve(TRACES), comment, traces);
    }
}
