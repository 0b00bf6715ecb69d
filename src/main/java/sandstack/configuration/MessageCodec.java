package sandstack.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import sandstack.configuration.ConfigurationMessage.ChunkRequest;
import sandstack.configuration.ConfigurationMessage.Deltas;
import sandstack.configuration.ConfigurationMessage.Goodbye;
import sandstack.configuration.ConfigurationMessage.Heartbeat;
import sandstack.configuration.ConfigurationMessage.Hello;
import sandstack.configuration.ConfigurationMessage.Rejected;
import sandstack.configuration.ConfigurationMessage.RejectionReason;
import sandstack.configuration.ConfigurationMessage.RepairRequest;
import sandstack.configuration.ConfigurationMessage.Report;
import sandstack.configuration.ConfigurationMessage.SnapshotChunk;
import sandstack.configuration.ConfigurationMessage.SnapshotOffer;
import sandstack.configuration.ConfigurationMessage.SnapshotRequest;
import sandstack.configuration.ConfigurationMessage.Welcome;

/** The binary form of messages: a kind, the session, and the fields. What is read is bounded; each frame is one message. */
public final class MessageCodec {
    /** The longest name of a relay, in bytes. */
    public static final int RELAY_BYTES = 128;

    private static final byte HELLO = 1;
    private static final byte REPORT = 2;
    private static final byte REPAIR_REQUEST = 3;
    private static final byte SNAPSHOT_REQUEST = 4;
    private static final byte CHUNK_REQUEST = 5;
    private static final byte GOODBYE = 6;
    private static final byte WELCOME = 7;
    private static final byte REJECTED = 8;
    private static final byte HEARTBEAT = 9;
    private static final byte DELTAS = 10;
    private static final byte SNAPSHOT_CHUNK = 11;
    private static final byte SNAPSHOT_OFFER = 12;
    /** Numbers of a message beside changes and parts of snapshots. */
    private static final int HEADER_BYTES = 64;
    /** In place of the ordinal of a refusal where there is none. */
    private static final int NOT_REFUSED = -1;

    private final ConfigurationCodec codec;

    /** Reads changes within the limits of this codec. */
    public MessageCodec(ConfigurationCodec codec) {
        this.codec = codec;
    }

    /** The longest message that is read. */
    public int mostBytes() {
        return codec.mostChangeBytes() + HEADER_BYTES;
    }

    /** Encodes a message. */
    public byte[] encode(ConfigurationMessage message) {
        FieldWriter out = new FieldWriter();
        if (message instanceof Heartbeat heartbeat) {
            write(begin(out, HEARTBEAT, message), heartbeat.head());
        } else if (message instanceof Report report) {
            write(begin(out, REPORT, message), report);
        } else if (message instanceof Deltas deltas) {
            begin(out, DELTAS, message).writeInt(deltas.changes().size());
            deltas.changes().forEach(change -> codec.write(out, change));
        } else if (message instanceof Hello hello) {
            begin(out, HELLO, message).writeInt(hello.formatVersion()).writeText(hello.relay());
            codec.write(out, hello.inForce());
        } else if (message instanceof Welcome welcome) {
            write(begin(out, WELCOME, message), welcome.head());
        } else if (message instanceof Rejected rejected) {
            begin(out, REJECTED, message).writeByte(rejected.reason().ordinal());
        } else if (message instanceof RepairRequest request) {
            codec.write(begin(out, REPAIR_REQUEST, message), request.inForce());
        } else if (message instanceof SnapshotRequest request) {
            begin(out, SNAPSHOT_REQUEST, message).writeLong(request.leastIndex());
        } else if (message instanceof ChunkRequest request) {
            codec.write(begin(out, CHUNK_REQUEST, message), request.version());
            out.writeInt(request.offset());
        } else if (message instanceof SnapshotOffer offer) {
            codec.write(begin(out, SNAPSHOT_OFFER, message), offer.version());
            out.writeInt(offer.formatVersion());
        } else if (message instanceof SnapshotChunk chunk) {
            write(begin(out, SNAPSHOT_CHUNK, message), chunk);
        } else {
            begin(out, GOODBYE, message);
        }
        return out.toBytes();
    }

    /** Decodes one message. */
    public ConfigurationMessage decode(byte[] frame) throws MalformedConfigurationException {
        if (frame.length > mostBytes()) {
            throw new MalformedConfigurationException(frame.length + " bytes, the most is " + mostBytes());
        }
        BoundedReader in = new BoundedReader(frame);
        byte kind = in.readByte();
        long session = in.readLong();
        ConfigurationMessage message =
                switch (kind) {
                    case HELLO -> readHello(in, session);
                    case REPORT -> readReport(in, session);
                    case REPAIR_REQUEST -> new RepairRequest(session, codec.readVersion(in));
                    case SNAPSHOT_REQUEST -> new SnapshotRequest(session, in.readLong());
                    case CHUNK_REQUEST -> new ChunkRequest(session, codec.readVersion(in), in.readInt());
                    case GOODBYE -> new Goodbye(session);
                    case WELCOME -> new Welcome(session, readHead(in));
                    case REJECTED -> new Rejected(session, constant(RejectionReason.values(), in.readByte()));
                    case HEARTBEAT -> new Heartbeat(session, readHead(in));
                    case DELTAS -> readDeltas(in, session);
                    case SNAPSHOT_OFFER -> new SnapshotOffer(session, codec.readVersion(in), in.readInt());
                    case SNAPSHOT_CHUNK -> readChunk(in, session);
                    default -> throw new MalformedConfigurationException("a message of kind " + kind);
                };
        in.requireEnd();
        return message;
    }

    private static FieldWriter begin(FieldWriter out, byte kind, ConfigurationMessage message) {
        return out.writeByte(kind).writeLong(message.session());
    }

    private void write(FieldWriter out, ConfigurationHead head) {
        codec.write(out, head.version());
        codec.write(out, head.digest());
        out.writeBoolean(head.quorum());
    }

    private ConfigurationHead readHead(BoundedReader in) throws MalformedConfigurationException {
        return new ConfigurationHead(codec.readVersion(in), codec.readDigest(in), in.readBoolean());
    }

    private void write(FieldWriter out, Report report) {
        codec.write(out, report.inForce());
        codec.write(out, report.digest());
        out.writeByte(report.refused().map(Enum::ordinal).orElse(NOT_REFUSED));
    }

    private Report readReport(BoundedReader in, long session) throws MalformedConfigurationException {
        ConfigurationVersion inForce = codec.readVersion(in);
        ConfigurationDigest digest = codec.readDigest(in);
        byte refused = in.readByte();
        return new Report(
                session,
                inForce,
                digest,
                refused == NOT_REFUSED
                        ? Optional.empty()
                        : Optional.of(constant(ChangeRefusal.Reason.values(), refused)));
    }

    private Hello readHello(BoundedReader in, long session) throws MalformedConfigurationException {
        int formatVersion = in.readInt();
        String relay = in.readText(RELAY_BYTES);
        return new Hello(session, relay, formatVersion, codec.readVersion(in));
    }

    private Deltas readDeltas(BoundedReader in, long session) throws MalformedConfigurationException {
        int count = in.readCount(Integer.MAX_VALUE, codec.leastAgreedBytes());
        List<AgreedChange> changes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            changes.add(codec.readAgreed(in));
        }
        return new Deltas(session, changes);
    }

    private void write(FieldWriter out, SnapshotChunk chunk) {
        codec.write(out, chunk.version());
        out.writeInt(chunk.formatVersion())
                .writeInt(chunk.totalBytes())
                .writeInt(chunk.offset())
                .writeBytes(chunk.bytes());
    }

    private SnapshotChunk readChunk(BoundedReader in, long session) throws MalformedConfigurationException {
        ConfigurationVersion version = codec.readVersion(in);
        int formatVersion = in.readInt();
        int totalBytes = in.readInt();
        int offset = in.readInt();
        return new SnapshotChunk(session, version, formatVersion, totalBytes, offset, in.readBytes(mostBytes()));
    }

    private static <T> T constant(T[] constants, byte ordinal) throws MalformedConfigurationException {
        if (ordinal < 0 || ordinal >= constants.length) {
            throw new MalformedConfigurationException("a constant " + ordinal);
        }
        return constants[ordinal];
    }
}
