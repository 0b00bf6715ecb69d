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
 * Samples of each record and message type that Raft stores or sends. {@code main} writes the fixture files: the encoded
 * samples, a store, and the traces of simulated clusters of the build on the class path. The committed fixtures were
 * written by an earlier version of this class, which is in the commit that added them. It was compiled against the
 * build whose commit the first line of the text files names.
 */
final class RaftSamples {
    static final String MESSAGES_FILE = "raft-messages.txt";
    static final String STATE_FILE = "raft-state-machine.txt";
    static final String TRACES_FILE = "raft-traces.txt";
    static final String STORE_FILE = "raft-store.mv";
    /** The last two are regression seeds of {@link RaftFaultSchedulesTest}. */
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

    /** Returns an entry for each operation type, with one entry for each mode of a membership change. */
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

    /** Returns a message of each type that control machines send, by name. */
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

    /** Creates a state machine to which one new term and three proposals were applied. */
    static ConfigurationStateMachine stateMachine() {
        ConfigurationStateMachine machine =
                new ConfigurationStateMachine(SimulatedMachine.VALIDATOR, new IgnoringListener(), () -> TERM);
        machine.runOperation(1, new LogOperation.NewTerm(TERM));
        for (long id = 1; id <= 3; id++) {
            machine.runOperation(1 + id, proposal(id, machine.current().version(), "key-" + id));
        }
        return machine;
    }

    /** Returns the encoded state of a state machine, which must fit into one chunk. */
    static byte[] stateOf(ConfigurationStateMachine machine) {
        List<Object> chunks = new ArrayList<>();
        machine.takeSnapshot(4, chunks::add);
        return ((StateChunk) chunks.get(0)).bytes();
    }

    /** Writes and closes a store with a record of each type that Raft persists. */
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

    /** Runs a cluster under random faults; returns a digest of its messages and of the final state of each machine. */
    static String trace(long seed) {
        RaftFaultSchedule schedule = new RaftFaultSchedule(seed);
        List<String> violations = schedule.run();
        StringBuilder states = new StringBuilder();
        schedule.cluster.machines.forEach(
                machine -> states.append(machine.node.current()).append(';'));
        return violations.size() + " breaches, " + schedule.cluster.checker.committedChanges() + " changes, "
                + schedule.cluster.network.traceDigest() + ", states "
                + Integer.toHexString(Arrays.hashCode(states.toString().toCharArray()));
    }

    /**
     * Writes the fixture files.
     *
     * @param arguments the target folder, and the comment for the first line: the command and the commit of the build
     */
    public static void main(String[] arguments) throws IOException {
        Path folder = Path.of(arguments[0]);
        String comment = arguments[1];
        FixtureFile.write(folder.resolve(MESSAGES_FILE), comment, FixtureFile.toHex(encodedMessages()));
        FixtureFile.write(
                folder.resolve(STATE_FILE), comment, FixtureFile.toHex(Map.of("state", stateOf(stateMachine()))));
        writeStore(folder.resolve(STORE_FILE));
        Map<String, String> traces = new LinkedHashMap<>();
        TRACED_SEEDS.forEach(seed -> traces.put("seed-" + seed, trace(seed)));
        FixtureFile.write(folder.resolve(TRACES_FILE), comment, traces);
    }
}
