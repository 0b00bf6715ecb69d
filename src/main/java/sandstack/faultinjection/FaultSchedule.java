package sandstack.faultinjection;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;

/**
 * The faults to inject into a fleet and when. Generated from a seed by {@link FaultScheduleGenerator} or read by
 * {@link FaultScheduleFile}. Immutable.
 *
 * @param members size of the fleet
 * @param steps ordered by time
 */
public record FaultSchedule(int members, List<Step> steps) {
    /** What a step does. */
    public enum Action {
        /** Nothing passes between two members. */
        PARTITION("cut", true),
        /** Nothing that the first member sends reaches the second. */
        ONE_WAY_PARTITION("cut-one-way", true),
        /** Everything passes again between two members, at full speed. */
        HEAL("heal", true),
        /** All connections between two members are reset. */
        RESET("reset", true),
        /** The link between two members gets a delay of 200 to 400 ms and a bandwidth of 64 KB a second. */
        SLOW("slow", true),
        /** The process is killed. */
        KILL("kill", false),
        /** The process is asked to terminate. */
        STOP("stop", false),
        /** The process is started, unless it runs. */
        START("start", false),
        /** The process is suspended by a signal. */
        PAUSE("pause", false),
        /** The suspended process continues. */
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
     * @param atSeconds since the fleet was complete
     * @param otherMember the second member; -1 where the action concerns one
     */
    public record Step(double atSeconds, Action action, int member, int otherMember) {
        /** The second member of an action that concerns one. */
        static final int NO_OTHER = -1;

        @Override
        public String toString() {
            String other = otherMember < 0 ? "" : " " + otherMember;
            return String.format(Locale.ROOT, "%.3f %s %d%s", atSeconds, action.label(), member, other);
        }
    }

    /** Rounds times to whole milliseconds, as a schedule file has them, and orders the steps. */
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
