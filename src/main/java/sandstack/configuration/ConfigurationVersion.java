package sandstack.configuration;

/**
 * A position in the history of committed changes. The index rises by one with each change; the term is that of the
 * leader under which the change was committed and never falls along the history. Two versions with one index and
 * different terms belong to different histories (the Log Matching property of Raft, section 5.3 of its paper).
 *
 * @param term of the consensus, 0 before the first change
 * @param index number of changes committed so far
 */
public record ConfigurationVersion(long term, long index) implements Comparable<ConfigurationVersion> {
    /** Before the first change. */
    public static final ConfigurationVersion NONE = new ConfigurationVersion(0, 0);

    /** Rejects negative numbers. */
    public ConfigurationVersion {
        if (term < 0 || index < 0) {
            throw new IllegalArgumentException("negative version " + term + "/" + index);
        }
    }

    /** The version of the change that is committed next, in this term or a later one. */
    public ConfigurationVersion next(long commitTerm) {
        return new ConfigurationVersion(Math.max(term, commitTerm), index + 1);
    }

    /** Whether a change with this version can come directly after the other. */
    public boolean follows(ConfigurationVersion other) {
        return index == other.index + 1 && term >= other.term;
    }

    /** Whether this is later than the other, and one history can hold both. */
    public boolean isAfter(ConfigurationVersion other) {
        return index > other.index && term >= other.term;
    }

    /** Whether no single history holds both this and the other. */
    public boolean divergesFrom(ConfigurationVersion other) {
        return index == other.index ? term != other.term : index > other.index ? term < other.term : term > other.term;
    }

    /** Writes the term and the index. */
    public void writeTo(FieldWriter out) {
        out.writeLong(term).writeLong(index);
    }

    /** Reads what {@link #writeTo} wrote; negative numbers are malformed. */
    public static ConfigurationVersion readFrom(BoundedReader in) throws MalformedConfigurationException {
        long term = in.readLong();
        long index = in.readLong();
        if (term < 0 || index < 0) {
            throw new MalformedConfigurationException("version " + term + "/" + index + " is negative");
        }
        return new ConfigurationVersion(term, index);
    }

    /** Orders by index, then by term. */
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
