package sandstack.configuration.consensus;

import io.microraft.RaftEndpoint;

/**
 * The identity under which a machine votes. It belongs to one disk: a machine whose disk was replaced, wiped or set back
 * gets a new identity, as it could vote twice or forget what it has acknowledged under the old one.
 */
public record ControlIdentity(String identity) implements RaftEndpoint {
    /** The longest identity. */
    public static final int MAX_CHARACTERS = 64;

    private static final String ALLOWED_PATTERN = "[A-Za-z0-9._-]{1," + MAX_CHARACTERS + "}";

    /** Refuses an identity that is empty, too long or has other characters than letters, digits, dot, dash, underscore. */
    public ControlIdentity {
        if (!identity.matches(ALLOWED_PATTERN)) {
            throw new IllegalArgumentException(
                    "an identity has 1 to " + MAX_CHARACTERS + " letters, digits, dots, dashes or underscores");
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
