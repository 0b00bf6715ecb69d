package sandstack.configuration.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import io.microraft.RaftEndpoint;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.RaftMessage;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Checks requests against a store with a snapshot at index 5, and log entries 6 and 7 of term 2. */
class SnapshotConsistencyCheckTest {
    private static final ControlIdentity SELF = new ControlIdentity("control-0");
    private static final DefaultRaftModelFactory MODELS = new DefaultRaftModelFactory();
    private static final long CURRENT_TERM = 3;

    private final SimulatedDisk disk = new SimulatedDisk("disk");
    private final SnapshotConsistencyCheck check = new SnapshotConsistencyCheck(disk);

    @BeforeEach
    void fillDisk() throws IOException {
        RaftGroupMembersView members = MODELS.createRaftGroupMembersViewBuilder()
                .setLogIndex(0)
                .setMembers(List.<RaftEndpoint>of(SELF))
                .setVotingMembers(List.<RaftEndpoint>of(SELF))
                .build();
        disk.persistSnapshotChunk(MODELS.createSnapshotChunkBuilder()
                .setIndex(5)
                .setTerm(1)
                .setSnapshotChunkIndex(0)
                .setSnapshotChunkCount(1)
                .setOperation(new StateChunk(new byte[1]))
                .setGroupMembersView(members)
                .build());
        disk.persistLogEntries(entries(6, 2, 2));
    }

    /** Returns entries with consecutive indexes from {@code first} on, and with these terms. */
    private static List<LogEntry> entries(long first, int... terms) {
        List<LogEntry> entries = new ArrayList<>();
        for (int term : terms) {
            entries.add(MODELS.createLogEntryBuilder()
                    .setIndex(first + entries.size())
                    .setTerm(term)
                    .setOperation(new LogOperation.NewTerm(term))
                    .build());
        }
        return entries;
    }

    private static AppendEntriesRequest request(int term, long previous, List<LogEntry> entries) {
        return MODELS.createAppendEntriesRequestBuilder()
                .setGroupId("group")
                .setSender(SELF)
                .setTerm(term)
                .setPreviousLogTerm(1)
                .setPreviousLogIndex(previous)
                .setCommitIndex(5)
                .setLogEntries(entries)
                .setQuerySequenceNumber(8)
                .setFlowControlSequenceNumber(9)
                .build();
    }

    @Test
    void entriesThatConflictWithTheLeaderAreFound() {
        assertThat(check.firstConflictingIndex(request(3, 5, entries(6, 3, 3)), CURRENT_TERM))
                .hasValue(6);
    }

    @Test
    void leaderOfAnEarlierTermRemovesNothing() {
        assertThat(check.firstConflictingIndex(request(2, 5, entries(6, 3)), CURRENT_TERM))
                .isEmpty();
    }

    @Test
    void conflictsThatTheLibraryDetectsAreLeftToIt() {
        for (RaftMessage message :
                List.of(request(3, 6, entries(7, 3)), request(3, 5, List.of()), request(3, 4, entries(5, 1, 3)))) {
            assertThat(check.firstConflictingIndex(message, CURRENT_TERM)).isEmpty();
            assertThat(check.withoutStoredEntries(message)).isSameAs(message);
        }
    }

    @Test
    void entriesAlreadyInTheLogAreLeftOut() {
        AppendEntriesRequest adapted =
                (AppendEntriesRequest) check.withoutStoredEntries(request(3, 5, entries(6, 2, 3, 3)));
        assertThat(adapted.getPreviousLogIndex()).isEqualTo(6);
        assertThat(adapted.getPreviousLogTerm()).isEqualTo(2);
        assertThat(adapted.getLogEntries()).extracting(LogEntry::getIndex).containsExactly(7L, 8L);
        assertThat(adapted.getTerm()).isEqualTo(3);
        assertThat(adapted.getCommitIndex()).isEqualTo(5);
        assertThat(adapted.getQuerySequenceNumber()).isEqualTo(8);
        assertThat(adapted.getFlowControlSequenceNumber()).isEqualTo(9);
    }
}
