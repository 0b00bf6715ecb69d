package sandstack.decisions;

import java.util.Collection;
import java.util.List;
import sandstack.capacity.ClassLoads;
import sandstack.capacity.Tally;
import sandstack.capacity.TenantShares;
import sandstack.decisions.Decisions.Tenant;
import sandstack.random.SeededRandom;

/**
 * What part of the load is refused where most servers are late. One thread; a look costs O(servers and
 * requests), the rest O(1).
 */
final class Shedding {
    private static final double SHED_STEP = 0.2;
    private static final double SHED_MOST = 0.9;

    private final Frame f;
    private final Fleet fleet;
    private final Room room;
    private final ClassLoads loads = new ClassLoads();
    private final TenantShares shares = new TenantShares();
    private double shed;
    private double lateHome;
    private double lateAway;

    Shedding(Frame f, Fleet fleet, Room room) {
        this.f = f;
        this.fleet = fleet;
        this.room = room;
        classesAre(f.set.classes().size());
        tenantsAre(f.set.tenants());
    }

    void classesAre(int count) {
        loads.classesAre(count);
    }

    void tenantsAre(List<Tenant> now) {
        shares.tenantsAre(now.stream().mapToDouble(Tenant::connections).toArray());
    }

    boolean on() {
        return shed > 0;
    }

    /** Part of the known servers of the home zone that are late, evened out. */
    double lateHome() {
        return lateHome;
    }

    double lateAway() {
        return lateAway;
    }

    private Tally tally(Server[] among) {
        Tally t = new Tally();
        for (Server s : among) {
            if (s.ready()) {
                t.add(room.late(s), room.fullHere(s), !s.held.isEmpty());
            }
        }
        return t;
    }

    /** Whether most of what is known here is late. */
    boolean jammed() {
        Tally away = tally(fleet.away);
        Tally home = tally(fleet.home);
        lateHome = home.evened(lateHome, 2);
        lateAway = away.evened(lateAway, 1);
        return Tally.jammed(home, away);
    }

    /**
     * Where most servers are late, placing and moving cannot help: all lose together. A part of the load is
     * refused then, least worth for its load first, more each look until the jam is gone.
     */
    void look(Collection<Request> requests, boolean jam) {
        boolean calm = shed == 0 && !jam;
        if (calm) {
            loads.clear();
        }
        for (Request r : requests) {
            if (r.state == Request.State.OPEN) {
                loads.holds(r.ask.requestClass(), calm ? loadOf(r) : 0);
                shares.holds(r.ask.tenant());
            }
        }
        shares.look(f.set.instances());
        if (!calm) {
            shed = jam ? Math.min(SHED_MOST, shed + SHED_STEP) : Math.max(0, shed - SHED_STEP / 8);
            loads.shed(shed, c -> f.set.classes().get(c).worth(), f.set.worthByWork());
        }
    }

    /** The load of a connection, or of its class where it tells none; 0 where neither is known. */
    double loadOf(Request r) {
        return r.load > 0 ? r.load : loads.of(r.ask.requestClass());
    }

    void loadTold(Request r, double load) {
        loads.told(r.ask.requestClass(), load);
    }

    /** Drawn by client key, so that the same clients stay away and the others are served whole. */
    boolean sheds(Request r) {
        if (shed <= 0) {
            return false;
        }
        // what a tenant holds beyond its share is worth little: that part goes before any class
        double excess = f.set.overShareWorth() < 1 ? shares.excess(r.ask.tenant()) : 0;
        double part = Math.max(loads.gives(r.ask.requestClass()), excess);
        return SeededRandom.unit(SeededRandom.mix(SeededRandom.hash(r.key))) < part;
    }
}
