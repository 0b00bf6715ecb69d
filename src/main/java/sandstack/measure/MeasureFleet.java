package sandstack.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import sandstack.rig.FleetRig;

/**
 * {@code measure fleet}: how fast members of a fleet of twelve real processes notice that one is killed, cut off or
 * paused, how soon all see the same again, whether anyone is doubted who lives, and what a member costs at several sizes.
 * One thread; a view is asked for each member in turn, so a moment is known to about a tenth of a second.
 */
final class MeasureFleet implements Measurement {
    private static final int MEMBERS = 12;
    private static final double PATIENCE = 40;
    /** Clock ticks of the system's process table a second. */
    private static final double TICKS = 100;

    /** What is done to a member. */
    private enum Fault {
        KILL,
        CUT,
        PAUSE
    }

    /** Times that were measured, in seconds. */
    private static final class Times {
        private final List<Double> seconds = new ArrayList<>();

        void add(double s) {
            seconds.add(s);
        }

        double at(double part) {
            List<Double> sorted = new ArrayList<>(seconds);
            Collections.sort(sorted);
            return sorted.isEmpty()
                    ? Double.NaN
                    : sorted.get((int) Math.min(sorted.size() - 1, Math.floor(part * sorted.size())));
        }
    }

    @Override
    public List<Aim> run(Way way, Progress progress) throws Exception {
        List<String> program = List.of("-jar", way.jar().toString());
        List<Aim> aims = new ArrayList<>();
        SplittableRandom chance = new SplittableRandom(way.seed());
        int rounds = way.quick() ? 1 : 17;
        double watched = way.quick() ? 5 : 600;
        try (FleetRig rig = whole(program, MEMBERS)) {
            for (Fault fault : Fault.values()) {
                Times noticed = new Times();
                Times equal = new Times();
                for (int i = 0; i < rounds; i++) {
                    equal.add(round(rig, fault, chance.nextInt(MEMBERS), noticed, !way.quick()));
                    progress.say(String.format(
                            Locale.ROOT,
                            "%s %d: noticed after %.1f s, equal again after %.1f s",
                            fault,
                            i + 1,
                            noticed.at(0.5),
                            equal.seconds.get(i)));
                }
                String name = fault.name().toLowerCase(Locale.ROOT);
                aims.add(Aim.atMost(name + " noticed, s, p50", noticed.at(0.5), 5));
                aims.add(Aim.atMost(name + " noticed, s, p99", noticed.at(0.99), 8));
                if (fault != Fault.KILL) {
                    aims.add(Aim.atMost(name + " healed, all equal, s, max", equal.at(1), 5));
                }
            }
            aims.add(Aim.atMost("views that doubt a member that lives", doubts(rig, watched, progress), 0));
        }
        for (int size : way.quick() ? new int[] {5} : new int[] {5, 20, 100}) {
            progress.say("cost at " + size + " members");
            cost(program, size, aims);
        }
        return aims;
    }

    private static FleetRig whole(List<String> program, int size) throws IOException {
        FleetRig rig = new FleetRig(program, size, 3);
        rig.startAll();
        if (FleetRig.until(rig::allAlive, PATIENCE + size) < 0) {
            String logs = rig.logs();
            rig.close();
            throw new IOException("a fleet of " + size + " did not see itself whole; it said: " + logs);
        }
        return rig;
    }

    /**
     * One fault of one member; returns the seconds from its end until all see all alive.
     *
     * @param untilLost it lasts until the member is given up, and not only until it is noticed
     */
    private static double round(FleetRig rig, Fault fault, int of, Times noticed, boolean untilLost)
            throws IOException {
        switch (fault) {
            case KILL -> rig.kill(of);
            case PAUSE -> rig.pause(of);
            default -> others(rig, of, true);
        }
        long began = System.nanoTime();
        boolean[] saw = new boolean[rig.size()];
        saw[of] = true;
        FleetRig.until(
                () -> {
                    boolean all = true;
                    for (int i = 0; i < rig.size(); i++) {
                        if (!saw[i]) {
                            Map<String, String> seen = rig.standings(i);
                            saw[i] = seen != null && !"ALIVE".equals(seen.get(FleetRig.name(of)));
                            if (saw[i]) {
                                noticed.add((System.nanoTime() - began) / 1e9);
                            }
                        }
                        all &= saw[i];
                    }
                    return all;
                },
                PATIENCE);
        FleetRig.until(
                () -> !untilLost
                        || "LOST".equals(rig.standings((of + 1) % rig.size()).get(FleetRig.name(of))),
                PATIENCE);
        switch (fault) {
            case KILL -> rig.start(of);
            case PAUSE -> rig.resume(of);
            default -> others(rig, of, false);
        }
        long micros = FleetRig.until(rig::allAlive, PATIENCE);
        return micros < 0 ? Double.POSITIVE_INFINITY : micros / 1e6;
    }

    private static void others(FleetRig rig, int of, boolean cut) {
        for (int i = 0; i < rig.size(); i++) {
            if (i != of && cut) {
                rig.cut(of, i);
            } else if (i != of) {
                rig.heal(of, i);
            }
        }
    }

    /** Counts views that call anyone other than alive while nobody is harmed, and a core is taken now and then. */
    private static double doubts(FleetRig rig, double seconds, Progress progress) throws InterruptedException {
        long until = System.nanoTime() + (long) (seconds * 1e9);
        int doubts = 0;
        while (System.nanoTime() < until) {
            Thread hog = new Thread(() -> {
                long end = System.nanoTime() + 1_000_000_000L;
                while (System.nanoTime() < end) {
                    Thread.onSpinWait();
                }
            });
            hog.start();
            for (int i = 0; i < rig.size(); i++) {
                Map<String, String> seen = rig.standings(i);
                doubts += seen == null
                        ? 0
                        : (int) seen.values().stream()
                                .filter(s -> !s.equals("ALIVE"))
                                .count();
            }
            hog.join();
            Thread.sleep(500);
        }
        progress.say(doubts + " doubts in " + seconds + " s");
        return doubts;
    }

    private static void cost(List<String> program, int size, List<Aim> aims) throws IOException, InterruptedException {
        try (FleetRig rig = whole(program, size)) {
            // what a start costs is over
            Thread.sleep(3_000);
            long bytes = rig.bytes();
            double cpu = cpu(rig);
            long began = System.nanoTime();
            Thread.sleep(5_000);
            double seconds = (System.nanoTime() - began) / 1e9;
            String at = ", " + size + " members";
            aims.add(Aim.told("bytes sent a second and member" + at, (rig.bytes() - bytes) / seconds / size));
            aims.add(Aim.told("processor ms a second and member" + at, (cpu(rig) - cpu) * 1000 / seconds / size));
            aims.add(Aim.told("resident MB a member" + at, status(rig, "VmRSS") / 1024.0));
            aims.add(Aim.told("threads a member" + at, status(rig, "Threads")));
        }
    }

    /** Processor seconds of all members so far. */
    private static double cpu(FleetRig rig) throws IOException {
        double ticks = 0;
        for (int i = 0; i < rig.size(); i++) {
            String stat = Files.readString(Path.of("/proc/" + rig.pid(i) + "/stat"));
            String[] words = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            ticks += Long.parseLong(words[11]) + Long.parseLong(words[12]);
        }
        return ticks / TICKS;
    }

    /** The mean of one line of the system's figures of a process. */
    private static double status(FleetRig rig, String what) throws IOException {
        double sum = 0;
        for (int i = 0; i < rig.size(); i++) {
            for (String line : Files.readAllLines(Path.of("/proc/" + rig.pid(i) + "/status"))) {
                if (line.startsWith(what + ":")) {
                    sum += Double.parseDouble(line.replaceAll("[^0-9]", ""));
                }
            }
        }
        return sum / rig.size();
    }
}
