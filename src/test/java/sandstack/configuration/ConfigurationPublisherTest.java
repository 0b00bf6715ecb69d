package sandstack.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import sandstack.configuration.ConfigurationMessage.ChunkRequest;
import sandstack.configuration.ConfigurationMessage.Deltas;
import sandstack.configuration.ConfigurationMessage.Heartbeat;
import sandstack.configuration.ConfigurationMessage.Hello;
import sandstack.configuration.ConfigurationMessage.RepairRequest;
import sandstack.configuration.ConfigurationMessage.SessionRejected;
import sandstack.configuration.ConfigurationMessage.SessionRejectionReason;
import sandstack.configuration.ConfigurationMessage.SnapshotChunk;
import sandstack.configuration.ConfigurationMessage.SnapshotOffer;
import sandstack.configuration.ConfigurationMessage.SnapshotRequest;
import sandstack.configuration.ConfigurationMessage.StatusReport;
import sandstack.configuration.ConfigurationMessage.Welcome;

/** The messages that a control machine sends to its relays, and the limits on sessions, rates and changes in flight. */
class ConfigurationPublisherTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final int WINDOW_CHANGES = 4;
    private static final int HISTORY_CHANGES = 10;
    private static final PublisherSettings SETTINGS = new PublisherSettings(
            3,
            2 * SECOND_MICROS,
            8 * SECOND_MICROS,
            WINDOW_CHANGES,
            1 << 16,
            HISTORY_CHANGES,
            1 << 20,
            64,
            5,
            1 << 20,
            20,
            10,
            40);

    private final ConfigurationCodec codec = new ConfigurationCodec(ConfigurationLimits.DEFAULT);
    private final RecordingPublisherOutput output = new RecordingPublisherOutput();
    private final ConfigurationPublisher publisher = new ConfigurationPublisher(SETTINGS, codec, output, 0);
    private final CommittedHistory history = new CommittedHistory();

    private void hello(String peer, long session, ConfigurationVersion activeVersion, long nowMicros) {
        publisher.received(peer, new Hello(session, "relay-" + peer, 1, activeVersion), nowMicros);
    }

    private void commit(int changes) {
        int from = history.changes.size();
        history.commitMany(changes);
        history.changes.subList(from, from + changes).forEach(publisher::committed);
    }

    private void report(String peer, long session, ConfigurationSnapshot state, long nowMicros) {
        publisher.received(
                peer, new StatusReport(session, state.version(), state.digest(), Optional.empty()), nowMicros);
    }

    @Test
    void newSessionGetsMissingChangesAndThenEachChange() {
        commit(3);
        hello("a", 1, history.states.get(1).version(), 0);
        assertThat(output.messages(Welcome.class)).containsExactly(new Welcome(1, history.headWithoutQuorum()));
        assertThat(output.messages(Deltas.class)).containsExactly(new Deltas(1, history.changes.subList(1, 3)));
        report("a", 1, history.current(), 0);
        publisher.setQuorumReached(true);
        commit(1);
        assertThat(output.messages(Deltas.class))
                .hasSize(2)
                .last()
                .isEqualTo(new Deltas(1, history.changes.subList(3, 4)));
        publisher.tick(2 * SECOND_MICROS);
        assertThat(output.messages(Heartbeat.class)).containsExactly(new Heartbeat(1, history.headWithQuorum()));
    }

    /** A relay that does not report gets no changes beyond the window, and nothing is queued for it. */
    @Test
    void relayThatDoesNotReportGetsNoMoreThanTheWindow() {
        hello("a", 1, ConfigurationVersion.NONE, 0);
        commit(HISTORY_CHANGES * 10);
        assertThat(output.messages(Deltas.class).stream()
                        .mapToInt(deltas -> deltas.changes().size())
                        .sum())
                .isEqualTo(WINDOW_CHANGES);
        report("a", 1, history.states.get(WINDOW_CHANGES), 0);
        assertThat(output.messages(SnapshotOffer.class)).hasSize(1);
        commit(5);
        assertThat(output.messages(SnapshotOffer.class)).hasSize(1);
    }

    @Test
    void snapshotIsSentInRequestedChunks() throws Exception {
        commit(HISTORY_CHANGES + 5);
        hello("a", 1, ConfigurationVersion.NONE, 0);
        publisher.received("a", new SnapshotRequest(1, 1), 0);
        SnapshotChunk first = output.messages(SnapshotChunk.class).get(0);
        byte[] assembled = new byte[first.totalBytes()];
        int offset = 0;
        while (offset < assembled.length) {
            SnapshotChunk chunk = output.messages(SnapshotChunk.class)
                    .get(output.messages(SnapshotChunk.class).size() - 1);
            assertThat(chunk.offset()).isEqualTo(offset);
            System.arraycopy(chunk.bytes(), 0, assembled, offset, chunk.bytes().length);
            offset += chunk.bytes().length;
            // changes committed during the download do not replace the snapshot while the retained changes follow it
            commit(offset == chunk.bytes().length ? 2 : 0);
            publisher.received("a", new ChunkRequest(1, first.version(), offset), 0);
        }
        assertThat(codec.decodeSnapshot(assembled)).isEqualTo(history.states.get(HISTORY_CHANGES + 5));
    }

    @Test
    void relayAheadOrOfADivergentHistoryGetsNoChanges() {
        commit(3);
        hello("a", 1, new ConfigurationVersion(9, 9), 0);
        assertThat(output.sent).hasSize(1);
        hello("b", 2, new ConfigurationVersion(2, 2), 0);
        assertThat(output.messages(Deltas.class)).isEmpty();
        assertThat(output.messages(SnapshotOffer.class)).hasSize(1);
    }

    @Test
    void sessionsBeyondTheMaximumAreRejected() {
        for (int i = 0; i < 5; i++) {
            hello("peer-" + i, i, ConfigurationVersion.NONE, 0);
        }
        assertThat(publisher.sessionCount()).isEqualTo(3);
        assertThat(output.messages(SessionRejected.class))
                .containsExactly(
                        new SessionRejected(3, SessionRejectionReason.FULL),
                        new SessionRejected(4, SessionRejectionReason.FULL));
        assertThat(output.closed).containsExactly("peer-3", "peer-4");
        assertThat(output.logLines).hasSize(1);
    }

    @Test
    void floodingPeerIsClosedWithOneLogLine() {
        hello("a", 1, ConfigurationVersion.NONE, 0);
        for (int i = 0; i < 100_000; i++) {
            report("a", 1, ConfigurationSnapshot.EMPTY, SECOND_MICROS);
        }
        assertThat(output.messages(SessionRejected.class).get(0))
                .isEqualTo(new SessionRejected(1, SessionRejectionReason.FLOOD));
        assertThat(output.messages(SessionRejected.class)).hasSizeLessThan(30);
        assertThat(publisher.sessionCount()).isZero();
        assertThat(output.logLines).hasSize(1);
    }

    @Test
    void relayNameCannotForgeALogLine() {
        publisher.received("a", new Hello(1, "relay\nno fault\u2028x", 1, ConfigurationVersion.NONE), 0);
        for (int i = 0; i < 100; i++) {
            report("a", 1, ConfigurationSnapshot.EMPTY, 0);
        }
        assertThat(output.logLines)
                .containsExactly("relay rejected reason=FLOOD detail=relay no fault x sends too many messages");
    }

    /** Hellos are charged to the peer that sends them, so the hellos of other peers are still admitted. */
    @Test
    void hellosOfOnePeerAreRateLimited() {
        for (int i = 0; i < 10_000; i++) {
            hello("a", i, ConfigurationVersion.NONE, i);
        }
        assertThat(output.messages(Welcome.class)).hasSizeLessThan(60);
        hello("b", 1, ConfigurationVersion.NONE, 2 * SECOND_MICROS);
        assertThat(output.sent.get(output.sent.size() - 1).message()).isInstanceOf(Welcome.class);
        assertThat(output.logLines).hasSize(1);
    }

    @Test
    void hellosOfManyPeersAreRateLimited() {
        for (int i = 0; i < 1_000; i++) {
            hello("peer-" + i, i, ConfigurationVersion.NONE, 0);
            publisher.disconnected("peer-" + i);
        }
        assertThat(output.messages(Welcome.class)).hasSize(20);
        assertThat(output.messages(SessionRejected.class)).hasSize(980);
        assertThat(output.logLines).hasSize(1);
    }

    @Test
    void repairsOfOneRelayAreRateLimited() {
        commit(WINDOW_CHANGES);
        hello("a", 1, ConfigurationVersion.NONE, 0);
        for (int i = 0; i < 30; i++) {
            publisher.received("a", new RepairRequest(1, ConfigurationVersion.NONE), SECOND_MICROS + i * 1_000L);
        }
        assertThat(output.messages(Deltas.class)).hasSize(2);
    }

    @Test
    void sessionOfASilentRelayIsClosed() {
        hello("a", 1, ConfigurationVersion.NONE, 0);
        hello("b", 2, ConfigurationVersion.NONE, 0);
        report("b", 2, ConfigurationSnapshot.EMPTY, 5 * SECOND_MICROS);
        publisher.tick(9 * SECOND_MICROS);
        assertThat(output.closed).containsExactly("a");
        assertThat(publisher.sessionCount()).isEqualTo(1);
    }

    @Test
    void unknownSessionIsRejected() {
        report("a", 7, ConfigurationSnapshot.EMPTY, 0);
        assertThat(output.messages(SessionRejected.class))
                .containsExactly(new SessionRejected(7, SessionRejectionReason.UNKNOWN_SESSION));
        assertThat(output.closed).containsExactly("a");
    }

    @Test
    void changesThatTheTransportRejectsAreSentAgain() {
        hello("a", 1, ConfigurationVersion.NONE, 0);
        output.full = true;
        commit(2);
        output.full = false;
        report("a", 1, ConfigurationSnapshot.EMPTY, 0);
        assertThat(output.messages(Deltas.class)).containsExactly(new Deltas(1, history.changes));
    }

    @Test
    void restoredStateIsOfferedAtOnce() {
        hello("a", 1, ConfigurationVersion.NONE, 0);
        history.commitMany(HISTORY_CHANGES);
        publisher.restored(history.current());
        assertThat(output.messages(SnapshotOffer.class))
                .containsExactly(new SnapshotOffer(1, history.current().version(), 1));
    }

    @Test
    void restoringAnOlderStateIsIgnored() {
        commit(3);
        publisher.restored(history.states.get(2));
        assertThat(publisher.head()).isEqualTo(history.headWithoutQuorum());
    }

    @Test
    void overviewCountsVersionsRejectionsAndMismatches() {
        commit(2);
        hello("a", 1, history.current().version(), 0);
        hello("b", 2, history.states.get(1).version(), 0);
        hello("c", 3, history.current().version(), 0);
        publisher.received(
                "b",
                new StatusReport(
                        2,
                        history.states.get(1).version(),
                        history.states.get(1).digest(),
                        Optional.of(ChangeRejection.Reason.UNUSABLE)),
                0);
        publisher.received(
                "c", new StatusReport(3, history.current().version(), ConfigurationDigest.EMPTY, Optional.empty()), 0);
        ConfigurationPublisher.Overview overview = publisher.overview();
        assertThat(overview.relaysByVersion())
                .containsEntry(history.current().version(), 2)
                .containsEntry(history.states.get(1).version(), 1);
        assertThat(overview.relaysRejecting()).containsEntry("relay-b", ChangeRejection.Reason.UNUSABLE);
        assertThat(overview.relaysWithDigestMismatch()).isEqualTo(List.of("relay-c"));
    }
}
