package sandstack.measure.scale.storm;

/** What a simulated return goes by. All times are in microseconds. */
public record StormSetting(Fleet fleet, Admission admission, BackOff backOff, Clients clients) {
    /** Silent connections a second that half a core sets up (docs/ROADMAP.md, "Crowds"). */
    public static final double MEASURED_ACCEPTS = 570;

    private static final Fleet PLANNED_FLEET = new Fleet(5_600, 8, 80_400, 1_000);
    private static final Admission MEASURED_ADMISSION = new Admission(MEASURED_ACCEPTS, 0, 1_800_000);
    /** As the decision module has it: a slot is a sixteenth of the tightest aim, 300 ms. */
    private static final BackOff DECISION_MODULE = new BackOff(18_750, 1, 8);

    private static final Clients USUAL_CLIENTS = new Clients(150_000, 1_600_000, 100_000);

    /**
     * The fleet, of which one zone is lost.
     *
     * @param relays over all zones
     * @param zones of equal size
     * @param clientsEach connections that each relay held
     * @param feedServers that accepted clients are passed on to
     */
    public record Fleet(int relays, int zones, int clientsEach, int feedServers) {}

    /**
     * What a relay takes.
     *
     * @param setUps that it makes a second
     * @param refusalCost what a refusal costs it, as a part of a set-up
     * @param patience it keeps a client waiting no longer; whoever would wait longer is refused at once
     */
    public record Admission(double setUps, double refusalCost, long patience) {}

    /**
     * The advice that goes with a refusal: interval n spans 2^n slots.
     *
     * @param slot length of a slot
     * @param first the interval that follows a client's first refusal
     * @param longest intervals grow no further
     */
    public record BackOff(long slot, int first, int longest) {}

    /**
     * What clients do of their own accord.
     *
     * @param earliest of the moments between which they spread themselves
     * @param latest of these moments
     * @param connectTimeout how soon a client that waits for nothing comes again
     */
    public record Clients(long earliest, long latest, long connectTimeout) {}

    /** The planned fleet with the measured rate of set-ups, where refusals cost nothing. */
    public static StormSetting planned() {
        return new StormSetting(PLANNED_FLEET, MEASURED_ADMISSION, DECISION_MODULE, USUAL_CLIENTS);
    }

    /** The same with another number of relays. */
    public StormSetting withRelays(int relays) {
        Fleet other = new Fleet(relays, fleet.zones(), fleet.clientsEach(), fleet.feedServers());
        return new StormSetting(other, admission, backOff, clients);
    }

    /** The same with another rate of set-ups. */
    public StormSetting withSetUps(double aSecond) {
        Admission other = new Admission(aSecond, admission.refusalCost(), admission.patience());
        return new StormSetting(fleet, other, backOff, clients);
    }

    /** The same with refusals that cost this part of a set-up. */
    public StormSetting withRefusalCost(double part) {
        Admission other = new Admission(admission.setUps(), part, admission.patience());
        return new StormSetting(fleet, other, backOff, clients);
    }

    /** The same with another longest interval. */
    public StormSetting withLongestInterval(int longest) {
        return new StormSetting(fleet, admission, new BackOff(backOff.slot(), backOff.first(), longest), clients);
    }

    /** The same with intervals that begin at this one. */
    public StormSetting withFirstInterval(int first) {
        BackOff other = new BackOff(backOff.slot(), first, Math.max(first, backOff.longest()));
        return new StormSetting(fleet, admission, other, clients);
    }

    /** Relays of the zones that remain. */
    public int remaining() {
        return fleet.relays() - fleet.relays() / fleet.zones();
    }

    /** Clients that have to find another relay. */
    public long lostClients() {
        return (long) (fleet.relays() / fleet.zones()) * fleet.clientsEach();
    }

    /** Seconds that the remaining relays need at least, were no attempt wasted. */
    public double leastSeconds() {
        return lostClients() / (remaining() * admission.setUps());
    }
}
