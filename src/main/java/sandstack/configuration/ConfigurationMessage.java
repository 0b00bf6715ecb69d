package sandstack.configuration;

import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** What a relay and a control machine say to each other. Every message names the session that it belongs to. */
public sealed interface ConfigurationMessage {
    /** The session, drawn by the relay when it says hello. */
    long sessionId();

    /** From a relay to a control machine. */
    sealed interface FollowerMessage extends ConfigurationMessage {}

    /** From a control machine to a relay. */
    sealed interface PublisherMessage extends ConfigurationMessage {}

    /** Asks for a session, from the version in force on. */
    record Hello(long sessionId, String relay, int formatVersion, ConfigurationVersion activeVersion)
            implements FollowerMessage {
        /** Refuses nulls. */
        public Hello {
            Objects.requireNonNull(relay, "relay");
            Objects.requireNonNull(activeVersion, "activeVersion");
        }
    }

    /** Says which version is in force, after each one and at each heartbeat, and why a later one was refused. */
    record StatusReport(
            long sessionId,
            ConfigurationVersion activeVersion,
            ConfigurationDigest digest,
            Optional<ChangeRejection.Reason> rejectionReason)
            implements FollowerMessage {
        /** Refuses nulls. */
        public StatusReport {
            Objects.requireNonNull(activeVersion, "activeVersion");
            Objects.requireNonNull(digest, "digest");
            Objects.requireNonNull(rejectionReason, "rejectionReason");
        }
    }

    /** Something was lost: asks for all changes after the version in force. */
    record RepairRequest(long sessionId, ConfigurationVersion activeVersion) implements FollowerMessage {
        /** Refuses nulls. */
        public RepairRequest {
            Objects.requireNonNull(activeVersion, "activeVersion");
        }
    }

    /** Changes do not help: asks for the beginning of a snapshot with this index or a later one. */
    record SnapshotRequest(long sessionId, long minIndex) implements FollowerMessage {}

    /** Asks for the next part of a snapshot. */
    record ChunkRequest(long sessionId, ConfigurationVersion version, int offset) implements FollowerMessage {
        /** Refuses nulls. */
        public ChunkRequest {
            Objects.requireNonNull(version, "version");
        }
    }

    /** Ends the session. */
    record Goodbye(long sessionId) implements FollowerMessage {}

    /** The session stands. */
    record Welcome(long sessionId, ConfigurationHead head) implements PublisherMessage {
        /** Refuses nulls. */
        public Welcome {
            Objects.requireNonNull(head, "head");
        }
    }

    /** The session does not stand, or no longer. */
    record SessionRejected(long sessionId, SessionRejectionReason reason) implements PublisherMessage {
        /** Refuses nulls. */
        public SessionRejected {
            Objects.requireNonNull(reason, "reason");
        }
    }

    /** The control machine lives, and what it holds. */
    record Heartbeat(long sessionId, ConfigurationHead head) implements PublisherMessage {
        /** Refuses nulls. */
        public Heartbeat {
            Objects.requireNonNull(head, "head");
        }
    }

    /** Changes without gaps between them. */
    record Deltas(long sessionId, List<CommittedChange> changes) implements PublisherMessage {
        /** Keeps a copy. */
        public Deltas {
            changes = List.copyOf(changes);
        }
    }

    /** The changes that the relay lacks are no longer kept; it may ask for a snapshot. */
    record SnapshotOffer(long sessionId, ConfigurationVersion version, int formatVersion) implements PublisherMessage {
        /** Refuses nulls. */
        public SnapshotOffer {
            Objects.requireNonNull(version, "version");
        }
    }

    /**
     * A part of an encoded snapshot.
     *
     * @param totalBytes of the whole encoded snapshot
     * @param offset of this part in it
     */
    record SnapshotChunk(
            long sessionId, ConfigurationVersion version, int formatVersion, int totalBytes, int offset, byte[] bytes)
            implements PublisherMessage {
        /** Refuses nulls; the bytes are not copied and must not be changed. */
        public SnapshotChunk {
            Objects.requireNonNull(version, "version");
            Objects.requireNonNull(bytes, "bytes");
        }

        @Override
        public boolean equals(Object other) {
            return other instanceof SnapshotChunk that
                    && sessionId == that.sessionId
                    && version.equals(that.version)
                    && formatVersion == that.formatVersion
                    && totalBytes == that.totalBytes
                    && offset == that.offset
                    && Arrays.equals(bytes, that.bytes);
        }

        @Override
        public int hashCode() {
            return Objects.hash(sessionId, version, offset, Arrays.hashCode(bytes));
        }
    }

    /** Why there is no session. */
    enum SessionRejectionReason {
        /** This machine has as many relays as it serves. */
        FULL,
        /** More say hello at once than are taken. */
        BUSY,
        /** This machine does not know the session; it may have been restarted. */
        UNKNOWN_SESSION,
        /** The relay sent more than is taken. */
        FLOOD
    }
}
