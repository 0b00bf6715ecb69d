package sandstack.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import sandstack.faultinjection.ProcessFleet;

/** Resource usage of the member processes of a fleet, from Linux's {@code /proc}. */
public final class FleetUsage {
    /** USER_HZ, the unit of processor times in {@code /proc/PID/stat}. */
    private static final double TICKS_PER_SECOND = 100;

    private static final double BYTES_PER_KIB = 1_024;

    /** Fields of {@code /proc/PID/stat} after the command name: time in user mode and in kernel mode. */
    private static final int USER_TIME = 11;

    private static final int SYSTEM_TIME = 12;

    private FleetUsage() {}

    /** Processor time of all members since their starts, in seconds. */
    public static double processorSeconds(ProcessFleet rig) throws IOException {
        double ticks = 0;
        for (int i = 0; i < rig.size(); i++) {
            String stat = Files.readString(Path.of("/proc/" + rig.processId(i) + "/stat"));
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ", 0);
            ticks += Long.parseLong(fields[USER_TIME]) + Long.parseLong(fields[SYSTEM_TIME]);
        }
        return ticks / TICKS_PER_SECOND;
    }

    /** Mean resident memory of a member, in bytes. */
    public static double meanResidentBytes(ProcessFleet rig) throws IOException {
        return meanOfStatusField(rig, "VmRSS") * BYTES_PER_KIB;
    }

    /** Mean number of threads of a member. */
    public static double meanThreads(ProcessFleet rig) throws IOException {
        return meanOfStatusField(rig, "Threads");
    }

    private static double meanOfStatusField(ProcessFleet rig, String field) throws IOException {
        double sum = 0;
        for (int i = 0; i < rig.size(); i++) {
            for (String line : Files.readAllLines(Path.of("/proc/" + rig.processId(i) + "/status"))) {
                if (line.startsWith(field + ":")) {
                    sum += Double.parseDouble(line.replaceAll("[^0-9]", ""));
                }
            }
        }
        return sum / rig.size();
    }
}
