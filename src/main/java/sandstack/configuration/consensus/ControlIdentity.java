package sandstack.configuration.consensus;

import io.microraft.RaftEndpoint;

/**
 * The identity under which a control machine votes. It is bound to one disk: a machine whose disk was replaced, wiped
 * or rolled back needs a new identity, because under the old one it could vote twice in a term or lose log entries that
 * it acknowledged (Raft requires term, vote and log to be persistent, figure 2 of its paper).
 */
public record ControlIdentity(String identity) implements RaftEndpoint {
    /** Maximum length of an identity, in characters. */
    public static final int MAX_CHARACTERS = 64;

    private static final String ALLOWED_PATTERN = "[A-Za-z0-9._-]{1," + MAX_CHARACTERS + "}";

    /**
     * Rejects an identity that is empty, too long or has characters other than letters, digits, dot, dash and
     * underscore.
     */
    public ControlIdentity {
        if (!identity.matches(ALLOWED_PATTERN)) {
            throw new IllegalArgumentException(
                    "an identity must have 1 to " + MAX_CHARACTERS + " letters, digits, dots, dashes or underscores");
        }
    }

    @Override
    public Object getId() {
        return identity;
    }

    @Override
    public String toString() {
        return identity;
    }
}
