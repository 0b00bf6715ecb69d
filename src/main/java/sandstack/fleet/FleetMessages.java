package sandstack.fleet;

import java.util.Map;
import java.util.Set;

/** What members say to each other, whatever the wire. Each carries the version of these words that its sender speaks. */
public final class FleetMessages {
    /** A member that hears a higher one takes nothing of it and says so once. */
    public static final int VERSION = 1;

    private FleetMessages() {}

    /**
     * Asked by each member of each: are you there, and what is new?
     *
     * @param v version of the words
     * @param from id of the asker's life
     * @param name the asker's name
     * @param has number of the last state of the asked that the asker holds
     * @param settled whether the asker already counts as the holder of its name
     */
    public record Question(int v, String from, String name, long has, boolean settled) {}

    /**
     * The answer.
     *
     * @param id of the life that answers
     * @param name its name
     * @param news null where the asker holds the last state
     * @param settled whether the one that answers counts as the holder of its name
     */
    public record Answer(int v, String id, String name, News news, boolean settled) {}

    /**
     * A member's last state, whole.
     *
     * @param number of its last change
     * @param values what it tells all
     * @param reached members that it reaches itself
     * @param unreached members that it asks in vain; of those in neither it says nothing
     */
    public record News(long number, Map<String, String> values, Set<String> reached, Set<String> unreached) {
        /** Ids that a list holds at most: more members than the library keeps. */
        static final int MOST_IDS = 1_000;

        /** Copies the collections, null as empty; an {@link IllegalArgumentException} where a list is too long. */
        public News {
            values = values == null ? Map.of() : Map.copyOf(values);
            reached = reached == null ? Set.of() : Set.copyOf(reached);
            unreached = unreached == null ? Set.of() : Set.copyOf(unreached);
            if (reached.size() > MOST_IDS || unreached.size() > MOST_IDS) {
                throw new IllegalArgumentException("more than " + MOST_IDS + " members in one list");
            }
        }
    }

    /**
     * A member's last state on its way through others.
     *
     * @param life who it is, for those whose library has not met it; null from a member that does not say
     */
    public record Spread(int v, String id, News news, Incarnation life) {}

    /** One member's request to another; what the body means is the kind's business. */
    public record Call(int v, String from, String kind, String body) {}

    /**
     * What became of a call at the member that was called.
     *
     * @param error null where the body is the answer
     */
    public record Result(int v, String body, String error) {}
}
