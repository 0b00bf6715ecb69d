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
 * Raft's log consistency check (section 5.3 of its paper) where a leader's entries begin directly after this machine's
 * snapshot. MicroRaft 0.7 looks up the entry before them in the log only, not in the snapshot; where the log holds
 * entries after the snapshot, it rejects the leader's every time, and the machine stays behind until the leader's next
 * snapshot. Called on the executor's thread.
 */
final class SnapshotConsistencyCheck {
    private final RaftModelFactory models = new DefaultRaftModelFactory();
    private final EncodedRaftStore store;

    /** Checks against what this store holds. */
    SnapshotConsistencyCheck(EncodedRaftStore store) {
        this.store = store;
    }

    /**
     * The index from which the log has to be removed, as a leader of the current or a later term contradicts the entry
     * directly after the snapshot. Raft removes such entries ("delete the existing entry and all that follow it",
     * AppendEntries rule 3): none is committed, as that leader has all that are (Leader Completeness, section 5.4).
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
     * The message without the entries that the log holds already: one index and one term identify one entry (Log
     * Matching).
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
