package sandstack.measure.page;

/** Events for which a fleet needs capacity, in the order of the columns of the page. */
public enum Scenario {
    /** Single machine failures and restarts of relays. */
    ORDINARY_DAY("ordinary day"),
    /** Loss of a rack or its switch. */
    RACK_LOST("a rack lost"),
    /** Loss and recovery of a zone. */
    ZONE_LOST("a zone lost and back"),
    /** Network partition between the regions for ten minutes, and its end. */
    REGIONS_APART("regions apart 10 min and back"),
    /** Rolling replacement of all relays. */
    ROLLOUT("a rollout of all relays");

    private final String title;

    Scenario(String title) {
        this.title = title;
    }

    /** The column header on the page. */
    String title() {
        return title;
    }
}
