package sandstack.capacity;

/**
 * What one feed server holds from here and what it can hold, by the evidence of this relay. Two measures are bounded
 * apart: connections, since a server holds only so many, and load, where connections tell theirs. Other relays fill
 * the same server unseen, so a bound is what this relay may have there, not the server's size.
 *
 * <p>Owned by the module's record of that server; one thread; every call is O(1) and allocates nothing. Whatever is
 * told, no figure becomes negative or not a number, and a closed server is tried again within 2^8 slots.
 */
public final class Estimate {
    /** Loads are cut to this: a peer may tell anything, as often as it likes. */
    private static final double MOST_LOAD = 1e9;
    /** What messages that are late say: so much of what stands there is too much by a little. */
    private static final double LATE_PART = 0.9;

    private final Capacity all;
    private int kind;
    private Stated stated;
    private double rating = 1;
    private final Bracket connections;
    private final Bracket load;
    private int standing;
    private int out;
    /** Told loads of what stands here, and how many have told none: they count as much as others do by now. */
    private double told;

    private int guessed;

    Estimate(Capacity all) {
        this.all = all;
        this.connections = new Bracket(all.slot());
        this.load = new Bracket(all.slot());
        this.stated = all.stated(0);
    }

    /** What the list says of the server. */
    public void listed(int machineKind, double size) {
        kind = machineKind;
        rating = size > 0 && size < 1e9 ? size : 1;
        stated = all.stated(machineKind);
        if (!stated.firm()) {
            connections.start(Math.ceil(stated.connections() * rating / all.relays()));
            load.start(stated.work() * rating / all.relays());
        }
    }

    /** A fresh process on the same machine. */
    public void restarted() {
        connections.forget();
        load.forget();
        listed(kind, rating);
    }

    /** Connections that stand here or are being set up. */
    public int taken() {
        return standing + out;
    }

    /** Connections that stand here. */
    public int standing() {
        return standing;
    }

    /** The load of what stands here, in microseconds of work a second; guessed where not told. */
    public double held() {
        return told + guessed * all.mean();
    }

    /** The connections that fit as far as this relay knows; infinite where nothing speaks against more. */
    public double bound() {
        return connections.bound();
    }

    // ---- what is known ----------------------------------------------------------------------------

    /** Whether one more fits by the evidence, without a trial. */
    public boolean fits() {
        return standing + out + 1 <= connections.bound()
                && (!load.known() || held() + (out + 1) * all.mean() <= load.bound());
    }

    /** Whether one more may be sent: it fits, or a trial is due. */
    public boolean open(long now) {
        return connections.open(standing + out, 1, now)
                && (!load.known() || load.open(held() + out * all.mean(), all.mean(), now));
    }

    /**
     * The part of what the operator stated firmly that is used from here; 0 where nothing is.
     *
     * @param groups how many groups stand here
     * @param warmth the part of its capacity that the server has by now, above 0
     */
    public double use(int groups, double warmth) {
        double work = stated.firm() ? rating * warmth * stated.work() : 0;
        return work <= 0 ? 0 : (held() + groups * stated.group() * all.mean()) / work;
    }

    /** How many usual connections fill this server when it is warm: as stated, or no less than others hold now. */
    public double fills() {
        double most = stated.work() > 0 ? stated.work() / all.mean() : stated.connections();
        return rating * (all.loadsKnown() && most > 0 ? most : Math.max(most, all.holds()));
    }

    /** What so much more use is worth in load. */
    public double load(double use) {
        return use * rating * stated.work();
    }

    /**
     * The part that is used of what evidence bounds here, or at servers of this kind; 0 where none does, or where the
     * use of what is stated firmly says more.
     */
    public double fullness() {
        if (stated.firm()) {
            return 0;
        }
        double most = connections.known() ? connections.bound() : all.usual(kind) * rating;
        double part = most <= 0 ? 1 : standing / most;
        return Math.min(1, load.known() ? Math.max(part, held() / Math.max(load.bound(), 1)) : part);
    }

    /** How many more fit by evidence; infinite where nothing speaks against more. */
    public double free() {
        return Math.max(0, connections.bound() - standing - out);
    }

    // ---- what happens -----------------------------------------------------------------------------

    /** An attempt to set up one more connection goes out. */
    public void sent() {
        connections.sent(standing + out, 1);
        if (load.known()) {
            load.sent(held() + out * all.mean(), all.mean());
        }
        out++;
    }

    /** An attempt that was out has ended, in whatever way. */
    public void back() {
        out = Math.max(0, out - 1);
    }

    /** The attempt said nothing of the server. */
    public void moot() {
        connections.moot();
        load.moot();
    }

    /** A connection stands, with so much load, 0 where it has told none; a number in [0, 1) draws when more is tried. */
    public void stands(double weight, long now, double draw) {
        standing++;
        counts(weight, 1);
        all.holds(standing, rating);
        connections.stood(standing, 1, now, draw);
        if (load.known()) {
            load.stood(held(), all.mean(), now, draw);
        }
        all.learned(kind, rating, connections);
    }

    /** A load was told; the one before is 0 where none was. */
    public void changed(double from, double to) {
        counts(from, -1);
        counts(to, 1);
    }

    /** A standing connection has ended; its load as last told, 0 where it told none. */
    public void left(double weight) {
        standing = Math.max(0, standing - 1);
        counts(weight, -1);
        if (standing == 0) {
            told = 0;
            guessed = 0;
        }
    }

    private void counts(double weight, int sign) {
        if (weight > 0) {
            told = Math.max(0, told + sign * weight);
        } else {
            guessed = Math.max(0, guessed + sign);
        }
    }

    /** The server said that it takes no more. */
    public void turnedAway(long now, double draw) {
        connections.failed(standing, now, draw);
        all.learned(kind, rating, connections);
    }

    /** The server dropped a connection that stood; told once that has {@link #left}. */
    public void shed(long now, double draw) {
        connections.failed(standing, now, draw);
        if (all.loadsTold()) {
            load.failed(held(), now, draw);
        }
        all.learned(kind, rating, connections);
    }

    /** Messages of connections here take too long. */
    public void late(long now, double draw) {
        if (all.loadsTold()) {
            load.failed(held() * LATE_PART, now, draw);
        } else {
            connections.failed(Math.floor(standing * LATE_PART), now, draw);
        }
    }

    /** What a load that was told counts for; what makes no sense counts for nothing. */
    public static double sane(double told) {
        return told > 0 ? Math.min(told, MOST_LOAD) : 0;
    }
}
