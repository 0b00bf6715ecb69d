package sandstack.configuration;

/**
 * A position in the history of committed changes. The index increases by one with each change. The term is that of the
 * leader that appended the change to the Raft log, and never decreases along a history. Two versions with the same
 * index and different terms belong to different histories (the Log Matching property, section 5.3 of the Raft paper).
 * Immutable.
 *
 * @param term the Raft term; 0 before the first change
 * @param index the number of changes committed so far
 */
public record ConfigurationVersion(long term, long index) implements Comparable<ConfigurationVersion> {
    /** The version before the first change. */
    public static final ConfigurationVersion NONE = new ConfigurationVersion(0, 0);

    /**
     * Creates a version.
     *
     * @throws IllegalArgumentException if the term or the index is negative
     */
    public ConfigurationVersion {
        if (term < 0 || index < 0) {
            throw new IllegalArgumentException("negative version " + term + "/" + index);
        }
    }

    /**
     * The version of the change that directly follows this one.
     *
     * @param entryTerm the term of the change's log entry; if it is lower than this version's term, that is kept,
     *     because terms never decrease
     */
    public ConfigurationVersion next(long entryTerm) {
        return new ConfigurationVersion(Math.max(term, entryTerm), index + 1);
    }

    /** Whether a change with this version can directly follow the other version. */
    public boolean follows(ConfigurationVersion other) {
        return index == other.index + 1 && term >= other.term;
    }

    /** Whether this version is later than the other and both can be in the same history. */
    public boolean isAfter(ConfigurationVersion other) {
        return index > other.index && term >= other.term;
    }

    /** Whether no single history can contain both versions. Symmetric. */
    public boolean divergesFrom(ConfigurationVersion other) {
        return index == other.index ? term != other.term : index > other.index ? term < other.term : term > other.term;
    }

    /** Writes 16 bytes, the term first. */
    public void writeTo(FieldWriter out) {
        out.writeLong(term).writeLong(index);
    }

    /** Reads the 16 bytes that {@link #writeTo} writes; a negative term or index is malformed. */
    public static ConfigurationVersion readFrom(BoundedReader in) throws MalformedConfigurationException {
        long term = in.readLong();
        long index = in.readLong();
        if (term < 0 || index < 0) {
            throw new MalformedConfigurationException("version " + term + "/" + index + " is negative");
        }
        return new ConfigurationVersion(term, index);
    }

    /** Compares the index first, then the term. */
    @Override
    public int compareTo(ConfigurationVersion other) {
        int byIndex = Long.compare(index, other.index);
        return byIndex != 0 ? byIndex : Long.compare(term, other.term);
    }

    @Override
    public String toString() {
        return term + "/" + index;
    }
}
