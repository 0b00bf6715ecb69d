package sandstack.faultinjection;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import sandstack.fleet.MemberStatus;
import sandstack.fleet.QuorumState;

/**
 * The events of one run in chronological order: the faults that were injected and what the members reported. Written by
 * the thread of the run and read by {@link InvariantChecker} after it.
 */
final class History {
    /** One event; times are microseconds since the run began. */
    sealed interface Event {
        long atMicros();
    }

    /** A step of the fault schedule was carried out. */
    record StepApplied(long atMicros, FaultSchedule.Step step) implements Event {}

    /** All faults were ended: no link is blocked and every member runs. */
    record AllFaultsHealed(long atMicros) implements Event {}

    /**
     * A member reported its view of the fleet.
     *
     * @param requestedMicros when the view was requested
     * @param incarnation incarnation of the reporting member
     * @param entries the entry of each incarnation in the view, by incarnation id
     */
    record ViewObserved(
            long atMicros, long requestedMicros, int member, String incarnation, Map<String, MemberEntry> entries)
            implements Event {}

    /** A member reported its quorum state and how many of the configured relays it reaches, itself included. */
    record QuorumObserved(long atMicros, int member, QuorumState state, int reachable) implements Event {}

    /** The entry of one incarnation in a view. */
    record MemberEntry(String name, MemberStatus status) {}

    private final List<Event> events = new ArrayList<>();

    void add(Event event) {
        events.add(event);
    }

    List<Event> events() {
        return events;
    }
}
