package sandstack.configuration;

import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * The messages between a relay (follower) and a control machine (publisher). Each names the session that it belongs to.
 */
public sealed interface ConfigurationMessage {
    /** The session; the relay draws the id at random for each hello. */
    long sessionId();

    /** From a relay to a control machine. */
    sealed interface FollowerMessage extends ConfigurationMessage {}

    /** From a control machine to a relay. */
    sealed interface PublisherMessage extends ConfigurationMessage {}

    /**
     * Requests a session.
     *
     * @param formatVersion the newest format version that the relay reads
     * @param activeVersion the version from which changes are sent
     */
    record Hello(long sessionId, String relay, int formatVersion, ConfigurationVersion activeVersion)
            implements FollowerMessage {
        /** Rejects null. */
        public Hello {
            Objects.requireNonNull(relay, "relay");
            Objects.requireNonNull(activeVersion, "activeVersion");
        }
    }

    /**
     * Acknowledges the active version, after each activation and at each heartbeat.
     *
     * @param rejectionReason why a later version was rejected; empty where none was
     */
    record StatusReport(
            long sessionId,
            ConfigurationVersion activeVersion,
            ConfigurationDigest digest,
            Optional<ChangeRejection.Reason> rejectionReason)
            implements FollowerMessage {
        /** Rejects null. */
        public StatusReport {
            Objects.requireNonNull(activeVersion, "activeVersion");
            Objects.requireNonNull(digest, "digest");
            Objects.requireNonNull(rejectionReason, "rejectionReason");
        }
    }

    /** Changes were lost: requests all changes after the active version. */
    record RepairRequest(long sessionId, ConfigurationVersion activeVersion) implements FollowerMessage {
        /** Rejects null. */
        public RepairRequest {
            Objects.requireNonNull(activeVersion, "activeVersion");
        }
    }

    /** Changes cannot help: requests the first chunk of a snapshot with this index or a later one. */
    record SnapshotRequest(long sessionId, long minIndex) implements FollowerMessage {}

    /** Requests the chunk of a snapshot that begins at an offset in bytes. */
    record ChunkRequest(long sessionId, ConfigurationVersion version, int offset) implements FollowerMessage {
        /** Rejects null. */
        public ChunkRequest {
            Objects.requireNonNull(version, "version");
        }
    }

    /** Closes the session. */
    record Goodbye(long sessionId) implements FollowerMessage {}

    /** Opens the session. */
    record Welcome(long sessionId, ConfigurationHead head) implements PublisherMessage {
        /** Rejects null. */
        public Welcome {
            Objects.requireNonNull(head, "head");
        }
    }

    /** The session is not opened, or is closed. */
    record SessionRejected(long sessionId, SessionRejectionReason reason) implements PublisherMessage {
        /** Rejects null. */
        public SessionRejected {
            Objects.requireNonNull(reason, "reason");
        }
    }

    /** Shows that the control machine is alive, and what it holds. */
    record Heartbeat(long sessionId, ConfigurationHead head) implements PublisherMessage {
        /** Rejects null. */
        public Heartbeat {
            Objects.requireNonNull(head, "head");
        }
    }

    /** Consecutive committed changes. */
    record Deltas(long sessionId, List<CommittedChange> changes) implements PublisherMessage {
        /** Copies the changes. */
        public Deltas {
            changes = List.copyOf(changes);
        }
    }

    /** The changes that the relay lacks are no longer in the history; it may request a snapshot. */
    record SnapshotOffer(long sessionId, ConfigurationVersion version, int formatVersion) implements PublisherMessage {
        /** Rejects null. */
        public SnapshotOffer {
            Objects.requireNonNull(version, "version");
        }
    }

    /**
     * A chunk of an encoded snapshot.
     *
     * @param totalBytes size of the complete encoded snapshot
     * @param offset of this chunk in it, in bytes
     */
    record SnapshotChunk(
            long sessionId, ConfigurationVersion version, int formatVersion, int totalBytes, int offset, byte[] bytes)
            implements PublisherMessage {
        /** Rejects null; the bytes are not copied and must not be modified. */
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
        /** The machine has as many sessions as it serves. */
        FULL(0),
        /** More hellos arrive than are admitted. */
        BUSY(1),
        /** The machine does not know the session; it may have been restarted. */
        UNKNOWN_SESSION(2),
        /** The relay exceeds its rate of messages. */
        FLOOD(3);

        private final int wireCode;

        SessionRejectionReason(int wireCode) {
            this.wireCode = wireCode;
        }

        /** The byte that is sent for it, which never changes. */
        int wireCode() {
            return wireCode;
        }
    }
}
