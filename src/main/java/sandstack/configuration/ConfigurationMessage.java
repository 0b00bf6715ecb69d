package sandstack.configuration;

import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * The messages between a relay (follower) and a control machine (publisher). Each carries the id of its session.
 * Immutable.
 */
public sealed interface ConfigurationMessage {
    /** The id of the session, which the relay chooses at random for each hello. */
    long sessionId();

    /** A message from a relay to a control machine. */
    sealed interface FollowerMessage extends ConfigurationMessage {}

    /** A message from a control machine to a relay. */
    sealed interface PublisherMessage extends ConfigurationMessage {}

    /**
     * Requests a session.
     *
     * @param relay the name of the relay
     * @param formatVersion the newest format version that the relay reads
     * @param activeVersion the active version at the relay; changes after it are sent
     */
    record Hello(long sessionId, String relay, int formatVersion, ConfigurationVersion activeVersion)
            implements FollowerMessage {
        /** Creates a hello; the codec bounds the length of the relay's name when it decodes one. */
        public Hello {
            Objects.requireNonNull(relay, "relay");
            Objects.requireNonNull(activeVersion, "activeVersion");
        }
    }

    /**
     * Reports the active version; sent after each activation, rejection and heartbeat, and after a pause of the
     * process. It acknowledges the changes up to that version.
     *
     * @param digest the digest of the active configuration
     * @param rejectionReason why a later version was rejected; empty if none was
     */
    record StatusReport(
            long sessionId,
            ConfigurationVersion activeVersion,
            ConfigurationDigest digest,
            Optional<ChangeRejection.Reason> rejectionReason)
            implements FollowerMessage {
        /** Creates a report of an active version, which is {@link ConfigurationVersion#NONE} before any activation. */
        public StatusReport {
            Objects.requireNonNull(activeVersion, "activeVersion");
            Objects.requireNonNull(digest, "digest");
            Objects.requireNonNull(rejectionReason, "rejectionReason");
        }
    }

    /** Requests all changes after the active version again, because some were lost. */
    record RepairRequest(long sessionId, ConfigurationVersion activeVersion) implements FollowerMessage {
        /** Creates a request for the changes that directly follow the active version. */
        public RepairRequest {
            Objects.requireNonNull(activeVersion, "activeVersion");
        }
    }

    /**
     * Requests the first chunk of a snapshot with index {@code minIndex} or a later one, because changes cannot bring
     * the relay up to date.
     */
    record SnapshotRequest(long sessionId, long minIndex) implements FollowerMessage {}

    /** Requests the chunk of a snapshot that begins at a byte offset. */
    record ChunkRequest(long sessionId, ConfigurationVersion version, int offset) implements FollowerMessage {
        /** Creates a request; the publisher ignores an offset outside the snapshot. */
        public ChunkRequest {
            Objects.requireNonNull(version, "version");
        }
    }

    /** Closes the session, because the relay follows another machine. */
    record Goodbye(long sessionId) implements FollowerMessage {}

    /** Opens the session that a hello requested. */
    record Welcome(long sessionId, ConfigurationHead head) implements PublisherMessage {
        /**
         * Creates a welcome with the machine's latest committed state, by which the relay decides whether to follow it.
         */
        public Welcome {
            Objects.requireNonNull(head, "head");
        }
    }

    /** Rejects the requested session, or closes an open one. */
    record SessionRejected(long sessionId, SessionRejectionReason reason) implements PublisherMessage {
        /** Creates a rejection with the reason that the relay receives. */
        public SessionRejected {
            Objects.requireNonNull(reason, "reason");
        }
    }

    /** Reports the machine's latest committed state at regular intervals, and keeps the session from timing out. */
    record Heartbeat(long sessionId, ConfigurationHead head) implements PublisherMessage {
        /** Creates a heartbeat; {@code head.hasQuorum()} shows whether the state may be outdated. */
        public Heartbeat {
            Objects.requireNonNull(head, "head");
        }
    }

    /** Consecutive committed changes in the order of the history. */
    record Deltas(long sessionId, List<CommittedChange> changes) implements PublisherMessage {
        /** Takes an immutable copy of the changes. */
        public Deltas {
            changes = List.copyOf(changes);
        }
    }

    /** Reports that the changes that the relay lacks are no longer kept, so it should request a snapshot. */
    record SnapshotOffer(long sessionId, ConfigurationVersion version, int formatVersion) implements PublisherMessage {
        /** Creates an offer of the snapshot at the machine's current version. */
        public SnapshotOffer {
            Objects.requireNonNull(version, "version");
        }
    }

    /**
     * A chunk of an encoded snapshot.
     *
     * @param formatVersion the format version that a reader of the snapshot must support
     * @param totalBytes the size of the complete encoded snapshot
     * @param offset the position of this chunk in it, in bytes
     */
    record SnapshotChunk(
            long sessionId, ConfigurationVersion version, int formatVersion, int totalBytes, int offset, byte[] bytes)
            implements PublisherMessage {
        /** Creates a chunk. The bytes are not copied and must not be modified afterwards. */
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

    /** The reason for which a control machine rejects or closes a session. */
    enum SessionRejectionReason {
        /** The number of sessions is at its maximum. */
        FULL(0),
        /** The hellos of all relays together exceed the admitted rate. */
        BUSY(1),
        /** The machine has no such session; it may have restarted since the session was opened. */
        UNKNOWN_SESSION(2),
        /** The relay exceeds its message rate. */
        FLOOD(3);

        private final int wireCode;

        SessionRejectionReason(int wireCode) {
            this.wireCode = wireCode;
        }

        /** The byte that represents this reason in a frame; it never changes. */
        int wireCode() {
            return wireCode;
        }
    }
}
