package sandstack.rig;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import sandstack.fleet.MemberStatus;
import sandstack.fleet.QuorumState;

/**
 * What happened in one run, in order: what was done to members and links, and what each said that it saw. Filled by the
 * run's thread, read by the rules.
 */
final class Facts {
    /** One thing that happened; microseconds since the run began. */
    sealed interface Fact {
        long at();
    }

    /** A step was carried out. */
    record Done(long at, Schedule.Step step) implements Fact {}

    /** All faults were ended: links pass, whoever was paused or dead runs. */
    record LetGo(long at) implements Fact {}

    /**
     * A member told its view.
     *
     * @param asked when it was asked
     * @param life of the member
     * @param seen how it sees each life
     */
    record Seen(long at, long asked, int member, String life, Map<String, Line> seen) implements Fact {}

    /** On what ground a member found itself, and how many of the stated relays it reached by that. */
    record Stands(long at, int member, QuorumState ground, int with) implements Fact {}

    /** How one life is seen. */
    record Line(String name, MemberStatus standing) {}

    private final List<Fact> all = new ArrayList<>();

    void add(Fact fact) {
        all.add(fact);
    }

    List<Fact> all() {
        return all;
    }
}
