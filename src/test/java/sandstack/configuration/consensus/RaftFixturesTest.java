package sandstack.configuration.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import io.microraft.model.log.LogEntry;
import io.microraft.model.message.RaftMessage;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.type.ByteArrayDataType;
import org.h2.mvstore.type.DataType;
import org.h2.mvstore.type.LongDataType;
import org.h2.mvstore.type.StringDataType;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sandstack.configuration.ConfigurationLimits;
import sandstack.configuration.FixtureFile;

/** The stores and messages of an earlier build can be read, and this build writes the same bytes. */
class RaftFixturesTest {
    private static final String FLUSHES = ".flushes";

    private final RaftMessageCodec codec = new RaftMessageCodec(RaftSamples.GROUP, ConfigurationLimits.DEFAULT);

    @TempDir
    Path folder;

    @Test
    void encodedMessagesMatchTheFixtures() {
        assertThat(FixtureFile.toHex(RaftSamples.encodedMessages()))
                .isEqualTo(FixtureFile.read(RaftSamples.MESSAGES_FILE));
    }

    @Test
    void messagesOfTheFixturesAreDecoded() throws Exception {
        Map<String, RaftMessage> samples = RaftSamples.messages();
        for (Map.Entry<String, byte[]> fixture :
                FixtureFile.readBytes(RaftSamples.MESSAGES_FILE).entrySet()) {
            RaftMessage decoded = codec.decode(fixture.getValue());
            assertThat(decoded.getClass())
                    .isEqualTo(samples.get(fixture.getKey()).getClass());
            assertThat(codec.encode(decoded)).as(fixture.getKey()).isEqualTo(fixture.getValue());
        }
    }

    @Test
    void stateMachineSnapshotMatchesTheFixture() {
        byte[] fixture = FixtureFile.readBytes(RaftSamples.STATE_FILE).get("state");
        assertThat(RaftSamples.stateOf(RaftSamples.stateMachine())).isEqualTo(fixture);
        ConfigurationStateMachine restored =
                new ConfigurationStateMachine(SimulatedMachine.VALIDATOR, new IgnoringListener(), () -> 1);
        restored.installSnapshot(4, List.of(new StateChunk(fixture)));
        assertThat(restored.current()).isEqualTo(RaftSamples.stateMachine().current());
        assertThat(restored.committedVersionOf(new IdempotencyKey(2, -2)))
                .isEqualTo(RaftSamples.stateMachine().committedVersionOf(new IdempotencyKey(2, -2)))
                .isPresent();
        assertThat(RaftSamples.stateOf(restored)).isEqualTo(fixture);
    }

    @Test
    void storeOfTheFixturesIsRestored() throws IOException {
        Path file = copyStore();
        try (MvStoreRaftStore store = MvStoreRaftStore.reopen(
                file.toString(),
                RaftSamples.NEW_IDENTITY_SETTING,
                RaftSamples.GROUP,
                RaftSamples.SELF,
                ConfigurationLimits.DEFAULT)) {
            RestoredRaftState state = store.restore().orElseThrow();
            assertThat(state.getLocalEndpointPersistentState().getLocalEndpoint())
                    .isEqualTo(RaftSamples.SELF);
            assertThat(state.getLocalEndpointPersistentState().isVoting()).isTrue();
            assertThat(state.getTermPersistentState().getTerm()).isEqualTo(4);
            assertThat(state.getTermPersistentState().getVotedFor()).isEqualTo(RaftSamples.OTHER);
            assertThat(state.getInitialGroupMembers().getMembers())
                    .containsExactly(RaftSamples.SELF, RaftSamples.OTHER);
            assertThat(state.getSnapshotEntry().getIndex()).isEqualTo(RaftSamples.SNAPSHOT_INDEX);
            assertThat(state.getSnapshotEntry().getSnapshotChunkCount()).isEqualTo(2);
            assertThat(state.getLogEntries())
                    .extracting(LogEntry::getIndex)
                    .containsExactlyElementsOf(RaftSamples.entries().stream()
                            .map(LogEntry::getIndex)
                            .toList());
            assertThat(state.getLogEntries().get(1).getOperation())
                    .isEqualTo(RaftSamples.entries().get(1).getOperation());
        }
    }

    @Test
    void writtenStoreMatchesTheFixture() throws IOException {
        Path file = copyStore();
        Path written = folder.resolve("written.mv");
        RaftSamples.writeStore(written);
        assertThat(contentOf(written)).isEqualTo(contentOf(file));
        assertThat(Files.readAllBytes(Path.of(written + FLUSHES)))
                .isEqualTo(Files.readAllBytes(Path.of(file + FLUSHES)));
    }

    @Test
    void seededFaultsReproduceTheTraces() {
        Map<String, String> expected = FixtureFile.read(RaftSamples.TRACES_FILE);
        assertThat(expected).hasSize(RaftSamples.TRACED_SEEDS.size());
        for (long seed : RaftSamples.TRACED_SEEDS) {
            assertThat(RaftSamples.trace(seed)).isEqualTo(expected.get("seed-" + seed));
        }
    }

    private Path copyStore() throws IOException {
        Path file = folder.resolve(RaftSamples.STORE_FILE);
        for (String suffix : List.of("", FLUSHES)) {
            try (InputStream fixture =
                    RaftFixturesTest.class.getResourceAsStream("/configuration/" + RaftSamples.STORE_FILE + suffix)) {
                Files.copy(fixture, Path.of(file + suffix));
            }
        }
        return file;
    }

    /** Returns every value of every map as hexadecimal digits, read by MVStore without the code under test. */
    private static Map<String, String> contentOf(Path file) {
        Map<String, String> content = new TreeMap<>();
        try (MVStore store = new MVStore.Builder()
                .fileName(file.toString())
                .autoCommitDisabled()
                .readOnly()
                .open()) {
            content.put("maps", String.join(",", store.getMapNames()));
            addContent(content, store, "header", StringDataType.INSTANCE);
            addContent(content, store, "log", LongDataType.INSTANCE);
            addContent(content, store, "chunks", LongDataType.INSTANCE);
        }
        assertThat(content).hasSizeGreaterThan(10);
        return content;
    }

    private static <K> void addContent(Map<String, String> content, MVStore store, String name, DataType<K> keys) {
        MVMap<K, byte[]> map =
                store.openMap(name, new MVMap.Builder<K, byte[]>().keyType(keys).valueType(ByteArrayDataType.INSTANCE));
        map.forEach((key, value) -> content.put(name + " " + key, HexFormat.of().formatHex(value)));
    }
}
