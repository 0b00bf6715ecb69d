package sandstack.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import sandstack.configuration.ConfigurationMessage.ChunkRequest;
import sandstack.configuration.ConfigurationMessage.Deltas;
import sandstack.configuration.ConfigurationMessage.FollowerMessage;
import sandstack.configuration.ConfigurationMessage.Goodbye;
import sandstack.configuration.ConfigurationMessage.Heartbeat;
import sandstack.configuration.ConfigurationMessage.Hello;
import sandstack.configuration.ConfigurationMessage.PublisherMessage;
import sandstack.configuration.ConfigurationMessage.RepairRequest;
import sandstack.configuration.ConfigurationMessage.SessionRejected;
import sandstack.configuration.ConfigurationMessage.SessionRejectionReason;
import sandstack.configuration.ConfigurationMessage.SnapshotChunk;
import sandstack.configuration.ConfigurationMessage.SnapshotOffer;
import sandstack.configuration.ConfigurationMessage.SnapshotRequest;
import sandstack.configuration.ConfigurationMessage.StatusReport;
import sandstack.configuration.ConfigurationMessage.Welcome;

/**
 * Encodes and decodes {@link ConfigurationMessage}s. A frame is one message: a byte for its kind, the session id and
 * the fields of that kind. Input is bounded by the limits of the configuration. Immutable.
 */
public final class ConfigurationMessageCodec {
    /** The maximum length of a relay's name, in bytes of UTF-8. */
    public static final int MAX_RELAY_NAME_BYTES = 128;

    private static final byte HELLO = 1;
    private static final byte STATUS_REPORT = 2;
    private static final byte REPAIR_REQUEST = 3;
    private static final byte SNAPSHOT_REQUEST = 4;
    private static final byte CHUNK_REQUEST = 5;
    private static final byte GOODBYE = 6;
    private static final byte WELCOME = 7;
    private static final byte SESSION_REJECTED = 8;
    private static final byte HEARTBEAT = 9;
    private static final byte DELTAS = 10;
    private static final byte SNAPSHOT_CHUNK = 11;
    private static final byte SNAPSHOT_OFFER = 12;
    /** Upper bound of the fixed fields of a message, in addition to its changes or chunk. */
    private static final int MAX_HEADER_BYTES = 64;
    /** Encodes the absence of a rejection reason in a status report, in place of its ordinal. */
    private static final int NO_REJECTION = -1;

    private final ConfigurationCodec codec;

    /** Creates a codec whose frames are bounded by the limits of the codec of changes. */
    public ConfigurationMessageCodec(ConfigurationCodec codec) {
        this.codec = codec;
    }

    /** The maximum size in bytes of a frame; longer input is rejected. */
    public int maxFrameBytes() {
        return codec.maxChangeBytes() + MAX_HEADER_BYTES;
    }

    /** Encodes a message as one frame; does not check its size. */
    public byte[] encode(ConfigurationMessage message) {
        FieldWriter out = new FieldWriter();
        if (message instanceof FollowerMessage followerMessage) {
            writeFollowerMessage(out, followerMessage);
        } else {
            writePublisherMessage(out, (PublisherMessage) message);
        }
        return out.toBytes();
    }

    private void writeFollowerMessage(FieldWriter out, FollowerMessage message) {
        if (message instanceof StatusReport report) {
            write(begin(out, STATUS_REPORT, message), report);
        } else if (message instanceof Hello hello) {
            begin(out, HELLO, message).writeInt(hello.formatVersion()).writeText(hello.relay());
            hello.activeVersion().writeTo(out);
        } else if (message instanceof RepairRequest request) {
            request.activeVersion().writeTo(begin(out, REPAIR_REQUEST, message));
        } else if (message instanceof SnapshotRequest request) {
            begin(out, SNAPSHOT_REQUEST, message).writeLong(request.minIndex());
        } else if (message instanceof ChunkRequest request) {
            request.version().writeTo(begin(out, CHUNK_REQUEST, message));
            out.writeInt(request.offset());
        } else {
            begin(out, GOODBYE, message);
        }
    }

    private void writePublisherMessage(FieldWriter out, PublisherMessage message) {
        if (message instanceof Heartbeat heartbeat) {
            write(begin(out, HEARTBEAT, message), heartbeat.head());
        } else if (message instanceof Deltas deltas) {
            begin(out, DELTAS, message).writeInt(deltas.changes().size());
            deltas.changes().forEach(change -> codec.write(out, change));
        } else if (message instanceof SnapshotChunk chunk) {
            write(begin(out, SNAPSHOT_CHUNK, message), chunk);
        } else if (message instanceof SnapshotOffer offer) {
            offer.version().writeTo(begin(out, SNAPSHOT_OFFER, message));
            out.writeInt(offer.formatVersion());
        } else if (message instanceof Welcome welcome) {
            write(begin(out, WELCOME, message), welcome.head());
        } else if (message instanceof SessionRejected rejected) {
            begin(out, SESSION_REJECTED, message).writeByte(rejected.reason().wireCode());
        }
    }

    /** Decodes a frame, which must be exactly one message. */
    public ConfigurationMessage decode(byte[] frame) throws MalformedConfigurationException {
        if (frame.length > maxFrameBytes()) {
            throw new MalformedConfigurationException(
                    "a frame of " + frame.length + " bytes, the maximum is " + maxFrameBytes());
        }
        BoundedReader in = new BoundedReader(frame);
        byte kind = in.readByte();
        long sessionId = in.readLong();
        ConfigurationMessage message =
                switch (kind) {
                    case HELLO -> readHello(in, sessionId);
                    case STATUS_REPORT -> readStatusReport(in, sessionId);
                    case REPAIR_REQUEST -> new RepairRequest(sessionId, ConfigurationVersion.readFrom(in));
                    case SNAPSHOT_REQUEST -> new SnapshotRequest(sessionId, in.readLong());
                    case CHUNK_REQUEST -> new ChunkRequest(sessionId, ConfigurationVersion.readFrom(in), in.readInt());
                    case GOODBYE -> new Goodbye(sessionId);
                    case WELCOME -> new Welcome(sessionId, readHead(in));
                    case SESSION_REJECTED -> new SessionRejected(sessionId, readSessionRejectionReason(in.readByte()));
                    case HEARTBEAT -> new Heartbeat(sessionId, readHead(in));
                    case DELTAS -> readDeltas(in, sessionId);
                    case SNAPSHOT_OFFER -> new SnapshotOffer(
                            sessionId, ConfigurationVersion.readFrom(in), in.readInt());
                    case SNAPSHOT_CHUNK -> readChunk(in, sessionId);
                    default -> throw new MalformedConfigurationException("message kind " + kind + " is unknown");
                };
        in.requireEnd();
        return message;
    }

    private static FieldWriter begin(FieldWriter out, byte kind, ConfigurationMessage message) {
        return out.writeByte(kind).writeLong(message.sessionId());
    }

    private void write(FieldWriter out, ConfigurationHead head) {
        head.version().writeTo(out);
        head.digest().writeTo(out);
        out.writeBoolean(head.hasQuorum());
    }

    private ConfigurationHead readHead(BoundedReader in) throws MalformedConfigurationException {
        return new ConfigurationHead(
                ConfigurationVersion.readFrom(in), ConfigurationDigest.readFrom(in), in.readBoolean());
    }

    private void write(FieldWriter out, StatusReport report) {
        report.activeVersion().writeTo(out);
        report.digest().writeTo(out);
        out.writeByte(report.rejectionReason().map(Enum::ordinal).orElse(NO_REJECTION));
    }

    private StatusReport readStatusReport(BoundedReader in, long sessionId) throws MalformedConfigurationException {
        ConfigurationVersion activeVersion = ConfigurationVersion.readFrom(in);
        ConfigurationDigest digest = ConfigurationDigest.readFrom(in);
        byte rejectionOrdinal = in.readByte();
        return new StatusReport(
                sessionId,
                activeVersion,
                digest,
                rejectionOrdinal == NO_REJECTION
                        ? Optional.empty()
                        : Optional.of(readConstant(ChangeRejection.Reason.values(), rejectionOrdinal)));
    }

    private Hello readHello(BoundedReader in, long sessionId) throws MalformedConfigurationException {
        int formatVersion = in.readInt();
        String relay = in.readText(MAX_RELAY_NAME_BYTES);
        return new Hello(sessionId, relay, formatVersion, ConfigurationVersion.readFrom(in));
    }

    private Deltas readDeltas(BoundedReader in, long sessionId) throws MalformedConfigurationException {
        int count = in.readCount(Integer.MAX_VALUE, codec.minCommittedChangeBytes());
        List<CommittedChange> changes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            changes.add(codec.readCommittedChange(in));
        }
        return new Deltas(sessionId, changes);
    }

    private void write(FieldWriter out, SnapshotChunk chunk) {
        chunk.version().writeTo(out);
        out.writeInt(chunk.formatVersion())
                .writeInt(chunk.totalBytes())
                .writeInt(chunk.offset())
                .writeBytes(chunk.bytes());
    }

    private SnapshotChunk readChunk(BoundedReader in, long sessionId) throws MalformedConfigurationException {
        ConfigurationVersion version = ConfigurationVersion.readFrom(in);
        int formatVersion = in.readInt();
        int totalBytes = in.readInt();
        int offset = in.readInt();
        return new SnapshotChunk(sessionId, version, formatVersion, totalBytes, offset, in.readBytes(maxFrameBytes()));
    }

    private static SessionRejectionReason readSessionRejectionReason(byte wireCode)
            throws MalformedConfigurationException {
        SessionRejectionReason[] reasons = SessionRejectionReason.values();
        for (SessionRejectionReason reason : reasons) {
            if (reason.wireCode() == wireCode) {
                return reason;
            }
        }
        throw new MalformedConfigurationException(
                "session rejection reason " + wireCode + " is unknown, the number of reasons is " + reasons.length);
    }

    private static <T> T readConstant(T[] constants, byte ordinal) throws MalformedConfigurationException {
        if (ordinal < 0 || ordinal >= constants.length) {
            throw new MalformedConfigurationException(
                    "ordinal " + ordinal + " is out of range, the number of constants is " + constants.length);
        }
        return constants[ordinal];
    }
}
