package sandstack.configuration.consensus;

import io.microraft.model.message.RaftMessage;
import sandstack.configuration.BoundedReader;
import sandstack.configuration.ConfigurationLimits;
import sandstack.configuration.FieldWriter;
import sandstack.configuration.MalformedConfigurationException;

/**
 * The binary form of the messages between control machines: a type, the group, the sender, the term, and the fields of
 * the type. A frame of another group, of an unknown type or beyond the bounds is rejected with one line. Immutable.
 */
final class RaftMessageCodec {
    /** The longest name of a group. */
    static final int MAX_GROUP_BYTES = 128;

    private static final int MAX_HEADER_BYTES = 512;

    private final RaftRecordCodec records;
    private final RaftMessageWriter writer;
    private final RaftMessageReader reader;
    private final String group;

    /** Accepts messages of this group only. */
    RaftMessageCodec(String group, ConfigurationLimits limits) {
        this.group = group;
        this.records = new RaftRecordCodec(limits);
        this.writer = new RaftMessageWriter(records);
        this.reader = new RaftMessageReader(group, records);
    }

    /** The longest frame that is decoded. */
    int maxMessageBytes() {
        return MAX_HEADER_BYTES + ControlNodeSettings.MAX_ENTRIES_PER_MESSAGE * records.maxRecordBytes();
    }

    byte[] encode(RaftMessage message) {
        FieldWriter out = new FieldWriter();
        out.writeByte(RaftMessageType.of(message).code()).writeText((String) message.getGroupId());
        records.writeEndpoint(out, message.getSender());
        out.writeInt(message.getTerm());
        writer.writeFields(out, message);
        return out.toBytes();
    }

    RaftMessage decode(byte[] frame) throws MalformedConfigurationException {
        if (frame.length > maxMessageBytes()) {
            throw new MalformedConfigurationException("a message of " + frame.length + " bytes");
        }
        BoundedReader in = new BoundedReader(frame);
        byte type = in.readByte();
        if (!in.readText(MAX_GROUP_BYTES).equals(group)) {
            throw new MalformedConfigurationException("a message of another group");
        }
        RaftMessageReader.Header header = new RaftMessageReader.Header(records.readEndpoint(in), in.readInt());
        RaftMessage message = reader.readFields(in, RaftMessageType.ofCode(type), header);
        in.requireEnd();
        return message;
    }
}
