package sandstack.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Encodes and decodes changes and snapshots for the consensus log, the network and the disk. Integers are big-endian,
 * texts and byte arrays follow their length. Input is bounded by the limits, and every length is checked before memory
 * is allocated for it. An unknown format version is decoded if its fields are the same, so that the validator can
 * reject it with the reason {@code UNKNOWN_FORMAT}. Immutable.
 */
public final class ConfigurationCodec {
    private static final int PUT = 1;
    private static final int REMOVE = 2;
    private static final int VERSION_BYTES = 2 * Long.BYTES;
    private static final int MIN_EDIT_BYTES = Byte.BYTES + Integer.BYTES;
    private static final int MIN_ENTRY_BYTES = 2 * Integer.BYTES;
    /** Upper bound of the fixed fields of a change or snapshot: versions, digest, counts and lengths. */
    private static final int MAX_HEADER_BYTES = 256;

    private final ConfigurationLimits limits;

    /** Creates a codec that rejects input beyond these limits; encoding does not check them. */
    public ConfigurationCodec(ConfigurationLimits limits) {
        this.limits = limits;
    }

    /** The maximum size in bytes of an encoded change; longer input is rejected. */
    public int maxChangeBytes() {
        return limits.maxChangeBytes()
                + limits.maxEditsPerChange() * (MIN_EDIT_BYTES + Integer.BYTES)
                + limits.maxAuthorBytes()
                + limits.maxReasonBytes()
                + MAX_HEADER_BYTES;
    }

    /** The maximum size in bytes of an encoded snapshot; longer input is rejected. */
    public int maxSnapshotBytes() {
        return limits.maxConfigurationBytes() + limits.maxEntries() * MIN_ENTRY_BYTES + MAX_HEADER_BYTES;
    }

    /** Encodes a proposed change, as the consensus log stores it. */
    public byte[] encode(ConfigurationChange change) {
        FieldWriter out = new FieldWriter();
        write(out, change);
        return out.toBytes();
    }

    /** Decodes a proposed change. Checks only its encoding; {@link ChangeValidator} decides whether it is valid. */
    public ConfigurationChange decodeChange(byte[] bytes) throws MalformedConfigurationException {
        requireAtMost(bytes, maxChangeBytes());
        BoundedReader in = new BoundedReader(bytes);
        ConfigurationChange change = readChange(in);
        in.requireEnd();
        return change;
    }

    /** Encodes a committed change with its version and digest. */
    public byte[] encode(CommittedChange committed) {
        FieldWriter out = new FieldWriter();
        write(out, committed);
        return out.toBytes();
    }

    /** Decodes a committed change; one whose version does not directly follow its base version is malformed. */
    public CommittedChange decodeCommittedChange(byte[] bytes) throws MalformedConfigurationException {
        requireAtMost(bytes, maxChangeBytes());
        BoundedReader in = new BoundedReader(bytes);
        CommittedChange committed = readCommittedChange(in);
        in.requireEnd();
        return committed;
    }

    /** Encodes a snapshot. Entries are sorted by key, so equal snapshots have equal bytes. */
    public byte[] encode(ConfigurationSnapshot snapshot) {
        FieldWriter out = new FieldWriter().writeInt(snapshot.formatVersion());
        snapshot.version().writeTo(out);
        snapshot.digest().writeTo(out);
        out.writeInt(snapshot.entries().size());
        new TreeMap<>(snapshot.entries())
                .forEach((key, value) -> out.writeText(key).writeText(value));
        return out.toBytes();
    }

    /** Decodes a snapshot; one with a repeated key or with entries that do not match its digest is malformed. */
    public ConfigurationSnapshot decodeSnapshot(byte[] bytes) throws MalformedConfigurationException {
        requireAtMost(bytes, maxSnapshotBytes());
        BoundedReader in = new BoundedReader(bytes);
        int formatVersion = in.readInt();
        ConfigurationVersion version = ConfigurationVersion.readFrom(in);
        ConfigurationDigest digest = ConfigurationDigest.readFrom(in);
        int count = in.readCount(limits.maxEntries(), MIN_ENTRY_BYTES);
        Map<String, String> entries = new HashMap<>();
        for (int i = 0; i < count; i++) {
            entries.put(in.readText(limits.maxKeyBytes()), in.readText(limits.maxValueBytes()));
        }
        in.requireEnd();
        ConfigurationSnapshot snapshot = ConfigurationSnapshot.of(version, formatVersion, entries);
        if (entries.size() != count || !snapshot.digest().equals(digest)) {
            throw new MalformedConfigurationException("the entries of " + version + " do not match their digest");
        }
        return snapshot;
    }

    void write(FieldWriter out, CommittedChange committed) {
        committed.version().writeTo(out);
        committed.digest().writeTo(out);
        write(out, committed.change());
    }

    CommittedChange readCommittedChange(BoundedReader in) throws MalformedConfigurationException {
        ConfigurationVersion version = ConfigurationVersion.readFrom(in);
        ConfigurationDigest digest = ConfigurationDigest.readFrom(in);
        ConfigurationChange change = readChange(in);
        if (!version.follows(change.baseVersion())) {
            throw new MalformedConfigurationException(
                    version + " does not directly follow the base version " + change.baseVersion());
        }
        return new CommittedChange(version, change, digest);
    }

    /** The smallest encoded size of a committed change, by which a count of changes in a frame is checked. */
    int minCommittedChangeBytes() {
        return 2 * VERSION_BYTES + 2 * Long.BYTES + 4 * Integer.BYTES;
    }

    private void write(FieldWriter out, ConfigurationChange change) {
        out.writeInt(change.formatVersion());
        change.baseVersion().writeTo(out);
        out.writeText(change.author()).writeText(change.reason());
        out.writeInt(change.edits().size());
        for (ConfigurationEdit edit : change.edits()) {
            if (edit instanceof ConfigurationEdit.Put put) {
                out.writeByte(PUT).writeText(put.key()).writeText(put.value());
            } else {
                out.writeByte(REMOVE).writeText(edit.key());
            }
        }
    }

    private ConfigurationChange readChange(BoundedReader in) throws MalformedConfigurationException {
        int formatVersion = in.readInt();
        ConfigurationVersion baseVersion = ConfigurationVersion.readFrom(in);
        String author = in.readText(limits.maxAuthorBytes());
        String reason = in.readText(limits.maxReasonBytes());
        int count = in.readCount(limits.maxEditsPerChange(), MIN_EDIT_BYTES);
        List<ConfigurationEdit> edits = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            edits.add(readEdit(in));
        }
        return new ConfigurationChange(formatVersion, baseVersion, author, reason, edits);
    }

    private ConfigurationEdit readEdit(BoundedReader in) throws MalformedConfigurationException {
        byte kind = in.readByte();
        String key = in.readText(limits.maxKeyBytes());
        return switch (kind) {
            case PUT -> new ConfigurationEdit.Put(key, in.readText(limits.maxValueBytes()));
            case REMOVE -> new ConfigurationEdit.Remove(key);
            default -> throw new MalformedConfigurationException("edit kind " + kind + " is unknown");
        };
    }

    private static void requireAtMost(byte[] bytes, int maxBytes) throws MalformedConfigurationException {
        if (bytes.length > maxBytes) {
            throw new MalformedConfigurationException(bytes.length + " bytes, the maximum is " + maxBytes);
        }
    }
}
