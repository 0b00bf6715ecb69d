package sandstack.faultinjection;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;

/**
 * The faults to inject into a fleet, and their times. Generated from a seed by {@link FaultScheduleGenerator} or read
 * by {@link FaultScheduleFile}. Immutable.
 *
 * @param members size of the fleet
 * @param steps ordered by time
 */
public record FaultSchedule(int members, List<Step> steps) {
    /** The kind of a step. */
    public enum Action {
        /** Blocks all traffic between two members. */
        PARTITION("cut", true),
        /** Blocks the traffic from the first member to the second. */
        ONE_WAY_PARTITION("cut-one-way", true),
        /** Unblocks all traffic between two members and restores the full speed. */
        HEAL("heal", true),
        /** Resets all connections between two members. */
        RESET("reset", true),
        /**
         * Delays the traffic between two members by 200 to 400 ms, and limits each direction of a connection to 64 KiB
         * per second.
         */
        SLOW("slow", true),
        /** Kills the process. */
        KILL("kill", false),
        /** Asks the process to terminate. */
        STOP("stop", false),
        /** Starts the process if it does not run. */
        START("start", false),
        /** Suspends the process by a signal. */
        PAUSE("pause", false),
        /** Continues the suspended process. */
        RESUME("resume", false);

        private final String label;
        private final boolean betweenTwoMembers;

        Action(String label, boolean betweenTwoMembers) {
            this.label = label;
            this.betweenTwoMembers = betweenTwoMembers;
        }

        /** The name of the action in a schedule file. */
        String label() {
            return label;
        }

        boolean betweenTwoMembers() {
            return betweenTwoMembers;
        }
    }

    /**
     * One fault, or its end.
     *
     * @param atSeconds time since the fleet became complete
     * @param otherMember the second member; {@link #NO_OTHER} for an action on a single member
     */
    public record Step(double atSeconds, Action action, int member, int otherMember) {
        /** Value of {@code otherMember} for an action on a single member. */
        static final int NO_OTHER = -1;

        @Override
        public String toString() {
            String other = otherMember < 0 ? "" : " " + otherMember;
            return String.format(Locale.ROOT, "%.3f %s %d%s", atSeconds, action.label(), member, other);
        }
    }

    /** Rounds times to whole milliseconds, the precision of a schedule file, and sorts the steps by time. */
    public FaultSchedule {
        steps = steps.stream()
                .map(step -> new Step(
                        Math.rint(step.atSeconds() * 1_000) / 1_000, step.action(), step.member(), step.otherMember()))
                .sorted(Comparator.comparingDouble(Step::atSeconds))
                .toList();
    }

    /** The same schedule without the step at this index. */
    FaultSchedule without(int index) {
        List<Step> remaining = new ArrayList<>(steps);
        remaining.remove(index);
        return new FaultSchedule(members, remaining);
    }
}
