package sandstack.faultinjection;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import sandstack.faultinjection.FaultSchedule.Action;
import sandstack.faultinjection.FaultSchedule.Step;

/**
 * Generates a random fault schedule. A seed must always give the same schedule, so the order of random draws must not
 * change. Faults overlap; each one except a reset has a later step that ends it.
 */
final class FaultScheduleGenerator {
    private static final int MIN_MEMBERS = 3;
    private static final int MIN_FAULTS = 2;
    private static final double FIRST_FAULT_AFTER_SECONDS = 0.5;
    private static final double MAX_GAP_SECONDS = 3;
    private static final double MIN_FAULT_SECONDS = 0.5;
    private static final double FAULT_SECONDS_RANGE = 9;

    private final SplittableRandom random;
    private final int members;
    private final List<Step> steps = new ArrayList<>();

    private FaultScheduleGenerator(long seed) {
        random = new SplittableRandom(seed);
        members = MIN_MEMBERS + random.nextInt(4);
    }

    static FaultSchedule generate(long seed) {
        FaultScheduleGenerator generator = new FaultScheduleGenerator(seed);
        generator.addFaults();
        return new FaultSchedule(generator.members, generator.steps);
    }

    private void addFaults() {
        double atSeconds = FIRST_FAULT_AFTER_SECONDS;
        int faults = MIN_FAULTS + random.nextInt(4);
        for (int i = 0; i < faults; i++) {
            atSeconds += random.nextDouble() * MAX_GAP_SECONDS;
            addFault(atSeconds);
        }
    }

    private void addFault(double atSeconds) {
        int member = random.nextInt(members);
        int other = (member + 1 + random.nextInt(members - 1)) % members;
        double untilSeconds = atSeconds + MIN_FAULT_SECONDS + random.nextDouble() * FAULT_SECONDS_RANGE;
        switch (random.nextInt(7)) {
            case 0, 1 -> {
                Action partition = random.nextBoolean() ? Action.PARTITION : Action.ONE_WAY_PARTITION;
                addFaultAndRecovery(partition, Action.HEAL, atSeconds, untilSeconds, member, other);
            }
            case 2 -> steps.add(new Step(atSeconds, Action.RESET, member, other));
            case 3 -> addFaultAndRecovery(Action.SLOW, Action.HEAL, atSeconds, untilSeconds, member, other);
            case 4 -> {
                Action end = random.nextBoolean() ? Action.KILL : Action.STOP;
                addFaultAndRecovery(end, Action.START, atSeconds, untilSeconds, member, Step.NO_OTHER);
            }
            case 5 -> addFaultAndRecovery(Action.PAUSE, Action.RESUME, atSeconds, untilSeconds, member, Step.NO_OTHER);
            default -> addPartitionInHalves(atSeconds, untilSeconds);
        }
    }

    private void addPartitionInHalves(double atSeconds, double untilSeconds) {
        int half = members / 2;
        for (int left = 0; left < half; left++) {
            for (int right = half; right < members; right++) {
                addFaultAndRecovery(Action.PARTITION, Action.HEAL, atSeconds, untilSeconds, left, right);
            }
        }
    }

    private void addFaultAndRecovery(
            Action fault, Action recovery, double atSeconds, double untilSeconds, int member, int other) {
        steps.add(new Step(atSeconds, fault, member, other));
        steps.add(new Step(untilSeconds, recovery, member, other));
    }
}
