package sandstack.configuration;

import java.util.List;

/**
 * The control machines in a relay's order of preference, with the position of the one to try next. The first machine is
 * the preferred one. Not thread-safe.
 */
final class MachineRotation {
    private final List<ControlMachine> machines;
    private int nextIndex;

    /** Starts with the preferred machine. */
    MachineRotation(List<ControlMachine> machinesInPreferenceOrder) {
        this.machines = List.copyOf(machinesInPreferenceOrder);
    }

    /** The name of the machine to try now; advances to the following one, and wraps around after the last. */
    String next() {
        String machine = machines.get(nextIndex % machines.size()).name();
        nextIndex = (nextIndex + 1) % machines.size();
        return machine;
    }

    /** Makes the preferred machine the next one. */
    void restartFromPreferred() {
        nextIndex = 0;
    }

    /** Makes the machine after the given one the next one. */
    void continueAfter(String machine) {
        nextIndex = positionOf(machine) + 1;
    }

    boolean isPreferred(String machine) {
        return positionOf(machine) == 0;
    }

    boolean isPreferredTo(String machine, String other) {
        return positionOf(machine) < positionOf(other);
    }

    private int positionOf(String machine) {
        for (int i = 0; i < machines.size(); i++) {
            if (machines.get(i).name().equals(machine)) {
                return i;
            }
        }
        return 0;
    }
}
