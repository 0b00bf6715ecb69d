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
 * Lets a leader's entries through that begin directly after this machine's snapshot. MicroRaft 0.7 looks for the entry
 * before those that are sent in the log only, not in the snapshot; where the log holds entries behind the snapshot it
 * refuses the leader's for ever, and the machine stays behind until the leader's next snapshot.
 */
final class SnapshotBoundary {
    private final RaftModelFactory models = new DefaultRaftModelFactory();
    private final EncodedRaftStore store;

    /** Looks at what this store holds. */
    SnapshotBoundary(EncodedRaftStore store) {
        this.store = store;
    }

    /**
     * From which index on the log has to go, as a leader of the current or a later term contradicts the entry directly
     * after the snapshot. Raft removes such entries: none is committed, as that leader has all that are.
     */
    OptionalLong contradictedFrom(RaftMessage message, long currentTerm) {
        if (!(message instanceof AppendEntriesRequest request)
                || request.getTerm() < currentTerm
                || !beginsAtBoundary(request)) {
            return OptionalLong.empty();
        }
        LogEntry first = request.getLogEntries().get(0);
        OptionalInt ours = store.termOfEntry(first.getIndex());
        return ours.isPresent() && ours.getAsInt() != first.getTerm()
                ? OptionalLong.of(first.getIndex())
                : OptionalLong.empty();
    }

    /** The message without the entries that the log holds already: one index and one term are one entry. */
    RaftMessage withoutHeldEntries(RaftMessage message) {
        if (!(message instanceof AppendEntriesRequest request) || !beginsAtBoundary(request)) {
            return message;
        }
        List<LogEntry> entries = request.getLogEntries();
        int held = 0;
        while (held < entries.size() && isHeld(entries.get(held))) {
            held++;
        }
        if (held == 0) {
            return message;
        }
        LogEntry lastHeld = entries.get(held - 1);
        return models.createAppendEntriesRequestBuilder()
                .setGroupId(request.getGroupId())
                .setSender(request.getSender())
                .setTerm(request.getTerm())
                .setPreviousLogTerm(lastHeld.getTerm())
                .setPreviousLogIndex(lastHeld.getIndex())
                .setCommitIndex(request.getCommitIndex())
                .setLogEntries(List.copyOf(entries.subList(held, entries.size())))
                .setQuerySequenceNumber(request.getQuerySequenceNumber())
                .setFlowControlSequenceNumber(request.getFlowControlSequenceNumber())
                .build();
    }

    private boolean beginsAtBoundary(AppendEntriesRequest request) {
        return !request.getLogEntries().isEmpty() && request.getPreviousLogIndex() == store.snapshotIndex();
    }

    private boolean isHeld(LogEntry entry) {
        OptionalInt term = store.termOfEntry(entry.getIndex());
        return term.isPresent() && term.getAsInt() == entry.getTerm();
    }
}
