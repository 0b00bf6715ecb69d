package sandstack.configuration.consensus;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sandstack.configuration.ConfigurationLimits;

/** All state flushed to a real file is restored, or the store is rejected with a message of one line. */
class MvStoreRaftStoreTest {
    private static final ControlIdentity SELF = new ControlIdentity("control-0");
    private static final String GROUP = "configuration";
    private static final String NEW_IDENTITY_SETTING = "new_identity";
    private static final DefaultRaftModelFactory MODELS = new DefaultRaftModelFactory();

    @TempDir
    Path folder;

    private String file;

    @BeforeEach
    void nameFile() {
        file = folder.resolve("raft.mv").toString();
    }

    private MvStoreRaftStore create() throws IOException {
        return MvStoreRaftStore.create(file, NEW_IDENTITY_SETTING, GROUP, SELF, ConfigurationLimits.DEFAULT);
    }

    private MvStoreRaftStore reopen() throws IOException {
        return MvStoreRaftStore.reopen(file, NEW_IDENTITY_SETTING, GROUP, SELF, ConfigurationLimits.DEFAULT);
    }

    private static RaftGroupMembersView members() {
        return MODELS.createRaftGroupMembersViewBuilder()
                .setLogIndex(0)
                .setMembers(List.of(SELF))
                .setVotingMembers(List.of(SELF))
                .build();
    }

    private static void start(MvStoreRaftStore store) throws IOException {
        store.persistAndFlushLocalEndpoint(MODELS.createRaftEndpointPersistentStateBuilder()
                .setLocalEndpoint(SELF)
                .setVoting(true)
                .build());
        store.persistAndFlushInitialGroupMembers(members());
        store.persistAndFlushTerm(MODELS.createRaftTermPersistentStateBuilder()
                .setTerm(3)
                .setVotedFor(SELF)
                .build());
    }

    private static void append(MvStoreRaftStore store, long first, long last) throws IOException {
        List<LogEntry> entries = new ArrayList<>();
        for (long index = first; index <= last; index++) {
            entries.add(entry(index));
        }
        store.persistLogEntries(entries);
    }

    private static LogEntry entry(long index) {
        byte[] change = new byte[200];
        new SplittableRandom(index).nextBytes(change);
        return MODELS.createLogEntryBuilder()
                .setIndex(index)
                .setTerm(3)
                .setOperation(new LogOperation.Proposal(new IdempotencyKey(0, index), change))
                .build();
    }

    private static void snapshot(MvStoreRaftStore store, long index, int chunks, int written) throws IOException {
        for (int chunk = 0; chunk < written; chunk++) {
            store.persistSnapshotChunk(MODELS.createSnapshotChunkBuilder()
                    .setIndex(index)
                    .setTerm(3)
                    .setSnapshotChunkIndex(chunk)
                    .setSnapshotChunkCount(chunks)
                    .setOperation(new StateChunk(new byte[] {(byte) chunk}))
                    .setGroupMembersView(members())
                    .build());
        }
    }

    private static List<Long> indexes(RestoredRaftState state) {
        return state.getLogEntries().stream().map(LogEntry::getIndex).toList();
    }

    private void assertRejected(String... messageParts) {
        assertThatThrownBy(() -> {
                    try (MvStoreRaftStore store = reopen()) {
                        store.restore();
                    }
                })
                .isInstanceOf(RejectedStoreException.class)
                .satisfies(rejection -> {
                    assertThat(rejection.getMessage()).contains(file).contains(messageParts);
                    assertThat(rejection.getMessage().lines()).hasSize(1);
                });
    }

    @Test
    void onlyFlushedStateSurvivesACrash() throws IOException {
        MvStoreRaftStore store = create();
        start(store);
        append(store, 1, 10);
        store.truncateLogEntriesFrom(9);
        store.flush();
        append(store, 9, 12);
        store.closeImmediately();
        try (MvStoreRaftStore reopened = reopen()) {
            RestoredRaftState state = reopened.restore().orElseThrow();
            assertThat(indexes(state)).containsExactly(1L, 2L, 3L, 4L, 5L, 6L, 7L, 8L);
            assertThat(state.getLogEntries().get(7).getOperation()).isEqualTo(entry(8).getOperation());
            assertThat(state.getTermPersistentState().getTerm()).isEqualTo(3);
            assertThat(state.getTermPersistentState().getVotedFor()).isEqualTo(SELF);
            assertThat(state.getLocalEndpointPersistentState().isVoting()).isTrue();
            assertThat(state.getInitialGroupMembers().getVotingMembers()).containsExactly(SELF);
        }
    }

    @Test
    void newestCompleteSnapshotIsRestored() throws IOException {
        MvStoreRaftStore store = create();
        start(store);
        append(store, 1, 12);
        snapshot(store, 5, 2, 2);
        snapshot(store, 10, 3, 2);
        store.truncateLogEntriesUntil(4);
        store.flush();
        store.closeImmediately();
        try (MvStoreRaftStore reopened = reopen()) {
            RestoredRaftState state = reopened.restore().orElseThrow();
            assertThat(state.getSnapshotEntry().getIndex()).isEqualTo(5);
            assertThat(state.getSnapshotEntry().getSnapshotChunkCount()).isEqualTo(2);
            assertThat(indexes(state)).containsExactly(6L, 7L, 8L, 9L, 10L, 11L, 12L);
        }
    }

    /** The permission to create a store is the setting for a new identity. */
    @Test
    void missingStoreNeedsPermissionAndPermissionNeedsAMissingStore() throws IOException {
        assertRejected("no store of control-0", NEW_IDENTITY_SETTING);
        create().close();
        assertThatThrownBy(this::create)
                .isInstanceOf(RejectedStoreException.class)
                .hasMessageContaining(file)
                .hasMessageContaining(NEW_IDENTITY_SETTING);
        // the flush count alone is evidence of an earlier store
        Files.delete(Path.of(file));
        assertThatThrownBy(this::create).isInstanceOf(RejectedStoreException.class);
        assertRejected("no store of control-0");
    }

    @Test
    void storeOfAnotherMachineOrGroupIsRejected() throws IOException {
        create().close();
        assertThatThrownBy(() -> MvStoreRaftStore.reopen(
                        file,
                        NEW_IDENTITY_SETTING,
                        GROUP,
                        new ControlIdentity("control-1"),
                        ConfigurationLimits.DEFAULT))
                .isInstanceOf(RejectedStoreException.class)
                .hasMessageContaining("identity is control-0 on this disk, control-1 in the settings");
        assertThatThrownBy(() ->
                        MvStoreRaftStore.reopen(file, NEW_IDENTITY_SETTING, "other", SELF, ConfigurationLimits.DEFAULT))
                .isInstanceOf(RejectedStoreException.class)
                .hasMessageContaining("group is configuration on this disk");
    }

    @Test
    void rolledBackFileIsRejected() throws IOException {
        MvStoreRaftStore store = create();
        start(store);
        append(store, 1, 5);
        store.flush();
        store.closeImmediately();
        Path older = folder.resolve("older");
        Files.copy(Path.of(file), older);
        MvStoreRaftStore reopened = reopen();
        append(reopened, 6, 9);
        reopened.flush();
        reopened.close();
        Files.copy(older, Path.of(file), StandardCopyOption.REPLACE_EXISTING);
        assertRejected("truncated or rolled back", "new identity");
    }

    @Test
    void fileWithoutItsFlushCountIsRejected() throws IOException {
        create().close();
        Files.delete(Path.of(file + ".flushes"));
        assertRejected("flush count", "missing");
    }

    @Test
    void crashBetweenFileAndFlushCountIsRecovered() throws IOException {
        MvStoreRaftStore store = create();
        start(store);
        store.close();
        Path count = Path.of(file + ".flushes");
        byte[] before = Files.readAllBytes(count);
        MvStoreRaftStore reopened = reopen();
        append(reopened, 1, 1);
        reopened.flush();
        reopened.close();
        Files.write(count, before);
        MvStoreRaftStore reopenedAgain = reopen();
        assertThat(indexes(reopenedAgain.restore().orElseThrow())).containsExactly(1L);
        append(reopenedAgain, 2, 2);
        reopenedAgain.flush();
        reopenedAgain.close();
        reopen().close();
    }

    /** A truncated or damaged file is either rejected or restored completely, never in part. */
    @Test
    void damagedFilesAreRejectedOrComplete() throws IOException {
        MvStoreRaftStore store = create();
        start(store);
        for (int i = 1; i <= 40; i++) {
            append(store, i, i);
            store.flush();
        }
        snapshot(store, 20, 1, 1);
        store.truncateLogEntriesUntil(18);
        store.flush();
        store.closeImmediately();
        byte[] whole = Files.readAllBytes(Path.of(file));
        byte[] count = Files.readAllBytes(Path.of(file + ".flushes"));
        SplittableRandom random = new SplittableRandom(40);
        int rejected = 0;
        for (int i = 0; i < 300; i++) {
            Files.write(Path.of(file), whole);
            Files.write(Path.of(file + ".flushes"), count);
            damage(random, whole.length);
            rejected += isRejectedOrComplete() ? 1 : 0;
        }
        assertThat(rejected).isGreaterThan(100);
    }

    private void damage(SplittableRandom random, int length) throws IOException {
        try (RandomAccessFile damaged = new RandomAccessFile(file, "rw")) {
            if (random.nextBoolean()) {
                damaged.setLength(random.nextInt(length));
                return;
            }
            byte[] noise = new byte[1 + random.nextInt(200)];
            random.nextBytes(noise);
            damaged.seek(random.nextInt(length - noise.length));
            damaged.write(noise);
        }
    }

    private boolean isRejectedOrComplete() throws IOException {
        try (MvStoreRaftStore store = reopen()) {
            RestoredRaftState state = store.restore().orElseThrow();
            assertThat(state.getSnapshotEntry().getIndex()).isEqualTo(20);
            assertThat(indexes(state)).hasSize(20).endsWith(40L);
            return false;
        } catch (RejectedStoreException e) {
            assertThat(e.getMessage().lines()).hasSize(1);
            assertThat(e.getMessage()).contains(file);
            return true;
        }
    }

    @Test
    void storeStartsNoThread() throws IOException {
        int before = Thread.activeCount();
        try (MvStoreRaftStore store = create()) {
            start(store);
            append(store, 1, 100);
            store.flush();
            assertThat(Thread.activeCount()).isEqualTo(before);
        }
    }

    /**
     * The log is compacted at each snapshot, so the size of the file does not grow with the number of entries written.
     */
    @Test
    void fileSizeStaysBounded() throws IOException {
        int snapshotIntervalEntries = 100;
        try (MvStoreRaftStore store = create()) {
            start(store);
            long maxBytes = 0;
            for (long index = 1; index <= 2_000; index++) {
                append(store, index, index);
                if (index % snapshotIntervalEntries == 0) {
                    snapshot(store, index, 1, 1);
                    store.truncateLogEntriesUntil(index);
                    store.deleteSnapshotChunks(index - snapshotIntervalEntries, 1);
                }
                store.flush();
                maxBytes = Math.max(maxBytes, Files.size(Path.of(file)));
            }
            System.out.println("2,000 entries of 200 bytes, snapshots every 100: file at most " + maxBytes + " bytes");
            assertThat(maxBytes).isLessThan(4 << 20);
        }
    }
}
