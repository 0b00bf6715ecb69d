package sandstack.configuration.consensus;

import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.InstallSnapshotResponse;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.TriggerLeaderElectionRequest;
import io.microraft.model.message.VoteRequest;
import io.microraft.model.message.VoteResponse;
import sandstack.configuration.MalformedConfigurationException;

/**
 * The types of Raft messages (RequestVote, AppendEntries and InstallSnapshot with their responses, pre-vote and
 * leadership transfer), and the byte that represents each on the wire.
 */
enum RaftMessageType {
    APPEND_ENTRIES(1, AppendEntriesRequest.class),
    APPEND_ENTRIES_SUCCESS(2, AppendEntriesSuccessResponse.class),
    APPEND_ENTRIES_FAILURE(3, AppendEntriesFailureResponse.class),
    INSTALL_SNAPSHOT(4, InstallSnapshotRequest.class),
    INSTALL_SNAPSHOT_RESPONSE(5, InstallSnapshotResponse.class),
    PRE_VOTE(6, PreVoteRequest.class),
    PRE_VOTE_RESPONSE(7, PreVoteResponse.class),
    VOTE(8, VoteRequest.class),
    VOTE_RESPONSE(9, VoteResponse.class),
    TRIGGER_LEADER_ELECTION(10, TriggerLeaderElectionRequest.class);

    private static final RaftMessageType[] TYPES = values();

    private final int code;
    private final Class<? extends RaftMessage> messageClass;

    RaftMessageType(int code, Class<? extends RaftMessage> messageClass) {
        this.code = code;
        this.messageClass = messageClass;
    }

    /** Returns the byte that represents this type on the wire. */
    int code() {
        return code;
    }

    static RaftMessageType of(RaftMessage message) {
        for (RaftMessageType type : TYPES) {
            if (type.messageClass.isInstance(message)) {
                return type;
            }
        }
        throw new IllegalArgumentException("message type cannot be sent: " + message.getClass());
    }

    static RaftMessageType ofCode(byte code) throws MalformedConfigurationException {
        for (RaftMessageType type : TYPES) {
            if (type.code == code) {
                return type;
            }
        }
        throw new MalformedConfigurationException("message type " + code + " is unknown");
    }
}
