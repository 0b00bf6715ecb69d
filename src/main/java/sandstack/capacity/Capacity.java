package sandstack.capacity;

/**
 * What is common to the estimates of one relay: what the operator stated, the mean load of its connections, and what
 * servers of one kind teach about each other. Owned by one decision module; one thread; calls are O(1).
 */
public final class Capacity {
    /** A mean begins with so many connections of the stated load: a few that tell theirs are not enough. */
    private static final int GUESSED = 8;
    /** The mean is that of so many connections at the most, the latest ones weighing more. */
    private static final int REMEMBERED = 256;
    /** What one more estimate of a kind weighs against those before it. */
    private static final double LEARN = 0.1;
    /** Kinds past this share one place, whatever a list says. */
    private static final int KINDS = 64;

    private final Stated.Book book;
    private final long slot;
    private final int relays;
    private final double[] usual = new double[KINDS];
    private final boolean sized;
    private final Stated other;
    /** The last loads that connections came with or told, also of those that have left: the others are guesses. */
    private double weight;

    private int known;
    private int count;
    private double listed = 1;
    private double most;
    private boolean loadsTold;

    /** Where ratings say nothing of sizes. */
    public Capacity(Stated.Book book, long slot, int relays) {
        this(book, slot, relays, false);
    }

    /**
     * Creates an estimate of what is stated, without evidence.
     *
     * @param slot the length of a slot, in microseconds
     * @param relays how many relays place connections at the same servers
     * @param sized ratings are sizes: of servers of which nobody states anything the platform's pages do
     */
    public Capacity(Stated.Book book, long slot, int relays, boolean sized) {
        this.sized = sized;
        this.other = orCores(book.other());
        this.book = book;
        this.slot = Math.max(1, slot);
        this.relays = Math.max(1, relays);
    }

    /** What one more group costs a server, in load. */
    public double group() {
        return other.group() * mean();
    }

    /** An estimate for a server of which nothing is known. */
    public Estimate unknown() {
        return new Estimate(this);
    }

    long slot() {
        return slot;
    }

    int relays() {
        return relays;
    }

    Stated stated(int kind) {
        return orCores(book.of(kind));
    }

    private Stated orCores(Stated own) {
        return sized && own.equals(Stated.NOTHING) ? Stated.CORES : own;
    }

    /** The ratings of all servers that are ready, together. */
    public void listed(double ratings) {
        listed = Math.max(ratings, 1e-9);
    }

    /** Connections of this relay for each unit of rating, over all servers that are ready. */
    public double spread() {
        return count / listed;
    }

    /**
     * What a unit of rating holds over all relays, by this one's part of it: what it can hold is no less. As all servers
     * hold now, or as the one that held most did, less a deviation of what one relay's part of it tells.
     */
    double holds() {
        return relays * Math.max((count + 1) / listed, most);
    }

    /** So many stand at a server of this rating. */
    void holds(int standing, double rating) {
        most = Math.max(most, (standing - Math.sqrt(standing)) / rating);
    }

    /** Whether a connection came with its load or told it, or an operator stated one: a guess alone closes no server. */
    public boolean loadsKnown() {
        return known > 0 || book.other().load() > 0;
    }

    /** The mean load of what stands here, in microseconds of work a second; 1 a connection while none is known. */
    public double mean() {
        double guess = other.load();
        return guess > 0 ? (weight + GUESSED * guess) / (known + GUESSED) : known > 0 ? Math.max(1, weight / known) : 1;
    }

    /** Whether a connection of this relay has ever told its load. */
    public boolean loadsTold() {
        return loadsTold;
    }

    /** A connection stands from now on, with this load; 0 where it is a guess. */
    public void stands(double load) {
        count++;
        counts(load);
    }

    /** A standing connection has ended. */
    public void left() {
        count = Math.max(0, count - 1);
    }

    /** A standing connection told its load; the one before is 0 where it was a guess. */
    public void told(double from, double to) {
        loadsTold = true;
        if (from > 0 && to > 0) {
            weight = Math.max(0, weight + to - from);
        } else {
            counts(to);
        }
    }

    private void counts(double load) {
        if (load > 0) {
            known++;
            weight += load;
        }
        if (known > REMEMBERED) {
            known /= 2;
            weight /= 2;
        }
    }

    void learned(int kind, double rating, Bracket connections) {
        if (!connections.known()) {
            return;
        }
        int at = at(kind);
        double seen = connections.bound() / rating;
        usual[at] = usual[at] <= 0 ? seen : usual[at] + (seen - usual[at]) * LEARN;
    }

    /** What a unit of rating of this kind usually holds from here; infinite where nothing is known. */
    double usual(int kind) {
        double seen = usual[at(kind)];
        return seen > 0 ? seen : Double.POSITIVE_INFINITY;
    }

    private static int at(int kind) {
        return Math.min(Math.max(0, kind), KINDS - 1);
    }
}
