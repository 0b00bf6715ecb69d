package sandstack.configuration.consensus;

import io.microraft.model.RaftModelFactory;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.RaftMessage;
import java.util.List;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Performs Raft's log consistency check (section 5.3 of its paper) for AppendEntries requests whose entries begin
 * directly after this machine's snapshot. MicroRaft 0.7 looks up the preceding entry only in the log, not in the
 * snapshot; if the log holds entries after the snapshot, it rejects each such request, and the machine lags until the
 * leader's next snapshot. Called on the executor's thread.
 */
final class SnapshotConsistencyCheck {
    private final RaftModelFactory models = new DefaultRaftModelFactory();
    private final EncodedRaftStore store;

    /** Checks requests against the snapshot and the log of this store, which it does not modify. */
    SnapshotConsistencyCheck(EncodedRaftStore store) {
        this.store = store;
    }

    /**
     * Returns the index from which the log must be truncated, because the entry directly after the snapshot conflicts
     * with that of a leader of the current or a later term; empty if there is no conflict. Raft removes such entries
     * ("delete the existing entry and all that follow it", AppendEntries rule 3): none is committed, as that leader has
     * all committed entries (Leader Completeness, section 5.4).
     */
    OptionalLong firstConflictingIndex(RaftMessage message, long currentTerm) {
        if (!(message instanceof AppendEntriesRequest request)
                || request.getTerm() < currentTerm
                || !followsSnapshot(request)) {
            return OptionalLong.empty();
        }
        LogEntry first = request.getLogEntries().get(0);
        OptionalInt storedTerm = store.termOfEntry(first.getIndex());
        return storedTerm.isPresent() && storedTerm.getAsInt() != first.getTerm()
                ? OptionalLong.of(first.getIndex())
                : OptionalLong.empty();
    }

    /**
     * Returns the message without the leading entries that the log already holds, which index and term identify (Log
     * Matching, section 5.3); the message itself if there are none.
     */
    RaftMessage withoutStoredEntries(RaftMessage message) {
        if (!(message instanceof AppendEntriesRequest request) || !followsSnapshot(request)) {
            return message;
        }
        List<LogEntry> entries = request.getLogEntries();
        int stored = 0;
        while (stored < entries.size() && isStored(entries.get(stored))) {
            stored++;
        }
        if (stored == 0) {
            return message;
        }
        LogEntry lastStored = entries.get(stored - 1);
        return models.createAppendEntriesRequestBuilder()
                .setGroupId(request.getGroupId())
                .setSender(request.getSender())
                .setTerm(request.getTerm())
                .setPreviousLogTerm(lastStored.getTerm())
                .setPreviousLogIndex(lastStored.getIndex())
                .setCommitIndex(request.getCommitIndex())
                .setLogEntries(List.copyOf(entries.subList(stored, entries.size())))
                .setQuerySequenceNumber(request.getQuerySequenceNumber())
                .setFlowControlSequenceNumber(request.getFlowControlSequenceNumber())
                .build();
    }

    private boolean followsSnapshot(AppendEntriesRequest request) {
        return !request.getLogEntries().isEmpty() && request.getPreviousLogIndex() == store.snapshotIndex();
    }

    private boolean isStored(LogEntry entry) {
        OptionalInt term = store.termOfEntry(entry.getIndex());
        return term.isPresent() && term.getAsInt() == entry.getTerm();
    }
}
