package sandstack.measure.page;

/**
 * Events that a fleet must have capacity for, in the order of the columns of the page. Constants are stored by name in
 * the cost model file.
 */
public enum Scenario {
    /** Failures of single machines and restarts of relays. */
    ORDINARY_DAY("ordinary day"),
    /** Failure of a rack or of its switch. */
    RACK_LOST("a rack lost"),
    /** Failure and recovery of a zone. */
    ZONE_LOST("a zone lost and back"),
    /** Network partition between the regions for ten minutes, and the recovery from it. */
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
