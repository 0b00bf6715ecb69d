package sandstack.configuration.consensus;

import io.microraft.model.message.RaftMessage;
import sandstack.configuration.BoundedReader;
import sandstack.configuration.ConfigurationLimits;
import sandstack.configuration.FieldWriter;
import sandstack.configuration.MalformedConfigurationException;

/**
 * Encodes and decodes the messages between control machines: type, group, sender, term, and the fields of the type.
 * Decoding rejects a frame of another group, of an unknown type or beyond the bounds with a message of one line.
 * Immutable.
 */
final class RaftMessageCodec {
    /** Maximum length of a group's name, in UTF-8 bytes. */
    static final int MAX_GROUP_BYTES = 128;

    private static final int MAX_HEADER_BYTES = 512;

    private final RaftRecordCodec records;
    private final RaftMessageWriter writer;
    private final RaftMessageReader reader;
    private final String group;

    /** Creates a codec that decodes messages of this group only. */
    RaftMessageCodec(String group, ConfigurationLimits limits) {
        this.group = group;
        this.records = new RaftRecordCodec(limits);
        this.writer = new RaftMessageWriter(records);
        this.reader = new RaftMessageReader(group, records);
    }

    /** Returns the maximum size of a frame that is decoded, in bytes. */
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
