package sandstack.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import sandstack.faultinjection.ProcessFleet;

/** Resource usage of the member processes of a fleet, read from {@code /proc}; works on Linux only. */
public final class FleetUsage {
    /** USER_HZ: clock ticks per second, the unit of processor times in {@code /proc/PID/stat}. */
    private static final double TICKS_PER_SECOND = 100;

    private static final double BYTES_PER_KIB = 1_024;

    /** Index of utime, the time in user mode, among the fields of {@code /proc/PID/stat} after the command name. */
    private static final int USER_TIME_FIELD = 11;

    /** Index of stime, the time in kernel mode, among the same fields. */
    private static final int SYSTEM_TIME_FIELD = 12;

    private FleetUsage() {}

    /** Total processor time of all members since each was started, in seconds. */
    public static double processorSeconds(ProcessFleet fleet) throws IOException {
        double ticks = 0;
        for (int i = 0; i < fleet.size(); i++) {
            String stat = Files.readString(Path.of("/proc/" + fleet.processId(i) + "/stat"));
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ", 0);
            ticks += Long.parseLong(fields[USER_TIME_FIELD]) + Long.parseLong(fields[SYSTEM_TIME_FIELD]);
        }
        return ticks / TICKS_PER_SECOND;
    }

    /** Resident memory in bytes, averaged over all members. */
    public static double meanResidentBytes(ProcessFleet fleet) throws IOException {
        return meanOfStatusField(fleet, "VmRSS") * BYTES_PER_KIB;
    }

    /** Number of threads, averaged over all members. */
    public static double meanThreads(ProcessFleet fleet) throws IOException {
        return meanOfStatusField(fleet, "Threads");
    }

    private static double meanOfStatusField(ProcessFleet fleet, String field) throws IOException {
        double sum = 0;
        for (int i = 0; i < fleet.size(); i++) {
            for (String line : Files.readAllLines(Path.of("/proc/" + fleet.processId(i) + "/status"))) {
                if (line.startsWith(field + ":")) {
                    sum += Double.parseDouble(line.replaceAll("[^0-9]", ""));
                }
            }
        }
        return sum / fleet.size();
    }
}
