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
final class History {
    /** One thing that happened; microseconds since the run began. */
    sealed interface Event {
        long atMicros();
    }

    /** A step was carried out. */
    record StepApplied(long atMicros, FaultSchedule.Step step) implements Event {}

    /** All faults were ended: links pass, whoever was paused or dead runs. */
    record AllFaultsHealed(long atMicros) implements Event {}

    /**
     * A member told its view.
     *
     * @param requestedMicros when it was asked
     * @param incarnation of the member
     * @param entries how it sees each life
     */
    record ViewObserved(
            long atMicros, long requestedMicros, int member, String incarnation, Map<String, MemberEntry> entries)
            implements Event {}

    /** On what ground a member found itself, and how many of the stated relays it reached by that. */
    record QuorumObserved(long atMicros, int member, QuorumState state, int reachable) implements Event {}

    /** How one life is seen. */
    record MemberEntry(String name, MemberStatus status) {}

    private final List<Event> events = new ArrayList<>();

    void add(Event fact) {
        events.add(fact);
    }

    List<Event> events() {
        return events;
    }
}
