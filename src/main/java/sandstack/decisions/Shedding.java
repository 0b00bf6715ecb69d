package sandstack.decisions;

import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import sandstack.capacity.Shares;
import sandstack.capacity.Tally;
import sandstack.chance.Chance;
import sandstack.decisions.Decisions.Tenant;

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
    private double[] classLoad = new double[0];
    private double[] classHeld = classLoad;
    private double[] classShed = classLoad;
    private List<Tenant> tenants;
    private double[] tenantExcess = new double[0];
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
        classLoad = Arrays.copyOf(classLoad, count);
        classHeld = Arrays.copyOf(classHeld, count);
        classShed = Arrays.copyOf(classShed, count);
    }

    void tenantsAre(List<Tenant> now) {
        tenants = List.copyOf(now);
        tenantExcess = Arrays.copyOf(tenantExcess, now.size());
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
        double[] tenantHeld = new double[tenantExcess.length];
        if (calm) {
            Arrays.fill(classHeld, 0);
        }
        for (Request r : requests) {
            if (r.state == Request.State.OPEN) {
                classHeld[r.ask.requestClass()] += calm ? loadOf(r) : 0;
                if (r.ask.tenant() >= 0 && r.ask.tenant() < tenantHeld.length) {
                    tenantHeld[r.ask.tenant()]++;
                }
            }
        }
        double[] quota = tenants.stream().mapToDouble(Tenant::connections).toArray();
        double[] excess = Shares.excess(tenantHeld, quota, f.set.instances());
        for (int t = 0; t < excess.length; t++) {
            tenantExcess[t] += (excess[t] - tenantExcess[t]) / 4;
        }
        if (!calm) {
            shed = jam ? Math.min(SHED_MOST, shed + SHED_STEP) : Math.max(0, shed - SHED_STEP / 8);
            double[] density = new double[classHeld.length];
            Arrays.setAll(density, this::density);
            classShed = Shares.leastFirst(shed, classHeld, density);
        }
    }

    private double density(int c) {
        double worth = f.set.classes().get(c).worth();
        return f.set.worthByWork() || classLoad[c] <= 0 ? worth : worth / classLoad[c];
    }

    /** The load of a connection, or of its class where it tells none; 0 where neither is known. */
    double loadOf(Request r) {
        return r.load > 0 ? r.load : classLoad[r.ask.requestClass()];
    }

    void loadTold(Request r, double load) {
        int c = r.ask.requestClass();
        classLoad[c] += (load - classLoad[c]) * (classLoad[c] == 0 ? 1 : 0.05);
    }

    /** Drawn by client key, so that the same clients stay away and the others are served whole. */
    boolean sheds(Request r) {
        if (shed <= 0) {
            return false;
        }
        // what a tenant holds beyond its share is worth little: that part goes before any class
        int t = r.ask.tenant();
        double excess = t >= 0 && t < tenantExcess.length && f.set.overShareWorth() < 1 ? tenantExcess[t] : 0;
        double part = Math.max(classShed[r.ask.requestClass()], excess);
        return Chance.unit(Chance.mix(Chance.hash(r.key))) < part;
    }
}
