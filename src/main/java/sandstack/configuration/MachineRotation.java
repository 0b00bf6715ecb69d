package sandstack.configuration;

import java.util.List;

/** The control machines in a relay's order of preference, and the one that is tried next. Not thread-safe. */
final class MachineRotation {
    private final List<ControlMachine> machines;
    private int nextIndex;

    /** Begins with the preferred machine, which is the first. */
    MachineRotation(List<ControlMachine> machinesInPreferenceOrder) {
        this.machines = List.copyOf(machinesInPreferenceOrder);
    }

    /** The name of the machine to try now; after the last comes the first. */
    String next() {
        String machine = machines.get(nextIndex % machines.size()).name();
        nextIndex = (nextIndex + 1) % machines.size();
        return machine;
    }

    /** The preferred machine is tried next. */
    void restart() {
        nextIndex = 0;
    }

    /** The machine after this one is tried next. */
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
