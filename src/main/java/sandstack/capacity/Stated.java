package sandstack.capacity;

import java.util.List;

/**
 * What an operator knows of the feed servers: a start for the estimates. Every figure may be 0, for not known.
 *
 * @param work work a second that a unit of rating does, in microseconds on a standard core
 * @param connections standing connections that a unit of rating holds, over all relays
 * @param firm evidence only lowers what {@code work} gives: it knows something that no relay can see, such as
 *     messages that are late behind the server
 * @param load work a second of a connection that has not told its load, in microseconds
 * @param group what a server pays for a group, in mean connections
 */
public record Stated(double work, double connections, boolean firm, double load, double group) {
    /** Nothing is known: there is room until evidence says otherwise. */
    public static final Stated NOTHING = new Stated(0, 0, false, 0, 0);

    /**
     * What holds of every feed server whose rating is a size. By the platform's pages a load is work a second in
     * microseconds of a standard core, so a unit of rating does a second of work a second; it answers lines at once however
     * late its messages are, so evidence may only lower that. The last two are guesses for what nothing tells, the same for
     * every deployment: a connection takes a sixteenth of a core until some have told their loads, and a group as much
     * as three connections.
     */
    public static final Stated CORES = new Stated(1_000_000, 0, true, 62_500, 3);

    /** Refuses what makes no sense with an {@link IllegalArgumentException} that names the value. */
    public Stated {
        require(work, "work");
        require(connections, "connections");
        require(load, "load");
        require(group, "group");
    }

    private static void require(double value, String name) {
        if (!(value >= 0 && value <= 1e15)) {
            throw new IllegalArgumentException(name + " must be from 0 to 1e15");
        }
    }

    /**
     * What is stated for each machine kind and for all others.
     *
     * @param other for the kinds that are not in the list
     * @param kinds by the position that server lists give as the kind
     */
    public record Book(Stated other, List<Stated> kinds) {
        /** Nothing is stated of any kind. */
        public static final Book EMPTY = new Book(NOTHING, List.of());

        /** Copies the list. */
        public Book {
            kinds = List.copyOf(kinds);
        }

        /** What is stated for this machine kind; {@link #other} for one that is not in the list. */
        public Stated of(int kind) {
            return kind >= 0 && kind < kinds.size() ? kinds.get(kind) : other;
        }
    }
}
