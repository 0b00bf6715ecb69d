package sandstack.measure.page;

/** What a fleet goes through, as columns of the page. */
public enum Occasion {
    /** Single machines fail, relays are restarted through the day. */
    ORDINARY_DAY("ordinary day"),
    /** A rack or a switch is gone. */
    RACK_LOST("a rack lost"),
    /** A zone is lost, and comes back. */
    ZONE_LOST("a zone lost and back"),
    /** Regions cannot reach each other for ten minutes, then they can. */
    REGIONS_APART("regions apart 10 min and back"),
    /** All relays are replaced one group after another. */
    ROLLOUT("a rollout of all relays");

    private final String title;

    Occasion(String title) {
        this.title = title;
    }

    /** How the page names it. */
    String title() {
        return title;
    }
}
