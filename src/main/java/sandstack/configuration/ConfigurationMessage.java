package sandstack.configuration;

import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** What a relay and a control machine say to each other. Every message names the session that it belongs to. */
public sealed interface ConfigurationMessage {
    /** The session, drawn by the relay when it says hello. */
    long session();

    /** From a relay to a control machine. */
    sealed interface FromFollower extends ConfigurationMessage {}

    /** From a control machine to a relay. */
    sealed interface FromPublisher extends ConfigurationMessage {}

    /** Asks for a session, from the version in force on. */
    record Hello(long session, String relay, int formatVersion, ConfigurationVersion inForce) implements FromFollower {
        /** Refuses nulls. */
        public Hello {
            Objects.requireNonNull(relay, "relay");
            Objects.requireNonNull(inForce, "inForce");
        }
    }

    /** Says which version is in force, after each one and at each heartbeat, and why a later one was refused. */
    record Report(
            long session,
            ConfigurationVersion inForce,
            ConfigurationDigest digest,
            Optional<ChangeRefusal.Reason> refused)
            implements FromFollower {
        /** Refuses nulls. */
        public Report {
            Objects.requireNonNull(inForce, "inForce");
            Objects.requireNonNull(digest, "digest");
            Objects.requireNonNull(refused, "refused");
        }
    }

    /** Something was lost: asks for all changes after the version in force. */
    record RepairRequest(long session, ConfigurationVersion inForce) implements FromFollower {
        /** Refuses nulls. */
        public RepairRequest {
            Objects.requireNonNull(inForce, "inForce");
        }
    }

    /** Changes do not help: asks for the beginning of a snapshot with this index or a later one. */
    record SnapshotRequest(long session, long leastIndex) implements FromFollower {}

    /** Asks for the next part of a snapshot. */
    record ChunkRequest(long session, ConfigurationVersion version, int offset) implements FromFollower {
        /** Refuses nulls. */
        public ChunkRequest {
            Objects.requireNonNull(version, "version");
        }
    }

    /** Ends the session. */
    record Goodbye(long session) implements FromFollower {}

    /** The session stands. */
    record Welcome(long session, ConfigurationHead head) implements FromPublisher {
        /** Refuses nulls. */
        public Welcome {
            Objects.requireNonNull(head, "head");
        }
    }

    /** The session does not stand, or no longer. */
    record Rejected(long session, RejectionReason reason) implements FromPublisher {
        /** Refuses nulls. */
        public Rejected {
            Objects.requireNonNull(reason, "reason");
        }
    }

    /** The control machine lives, and what it holds. */
    record Heartbeat(long session, ConfigurationHead head) implements FromPublisher {
        /** Refuses nulls. */
        public Heartbeat {
            Objects.requireNonNull(head, "head");
        }
    }

    /** Changes without gaps between them. */
    record Deltas(long session, List<AgreedChange> changes) implements FromPublisher {
        /** Keeps a copy. */
        public Deltas {
            changes = List.copyOf(changes);
        }
    }

    /** The changes that the relay lacks are no longer kept; it may ask for a snapshot. */
    record SnapshotOffer(long session, ConfigurationVersion version, int formatVersion) implements FromPublisher {
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
            long session, ConfigurationVersion version, int formatVersion, int totalBytes, int offset, byte[] bytes)
            implements FromPublisher {
        /** Refuses nulls; the bytes are not copied and must not be changed. */
        public SnapshotChunk {
            Objects.requireNonNull(version, "version");
            Objects.requireNonNull(bytes, "bytes");
        }

        @Override
        public boolean equals(Object other) {
            return other instanceof SnapshotChunk that
                    && session == that.session
                    && version.equals(that.version)
                    && formatVersion == that.formatVersion
                    && totalBytes == that.totalBytes
                    && offset == that.offset
                    && Arrays.equals(bytes, that.bytes);
        }

        @Override
        public int hashCode() {
            return Objects.hash(session, version, offset, Arrays.hashCode(bytes));
        }
    }

    /** Why there is no session. */
    enum RejectionReason {
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
