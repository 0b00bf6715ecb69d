package sandstack.rig;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.SplittableRandom;
import sandstack.config.DeployFiles;
import sandstack.config.InvalidConfigurationException;

/**
 * What is done to a fleet, and when. Drawn from a seed or read from a file; what a run found wrong is kept as such a
 * file. Pure but for reading one.
 *
 * @param members how many there are
 * @param steps in the order of their moments
 */
public record Schedule(int members, List<Step> steps) {
    private static final int MOST_MEMBERS = 100;
    private static final int MOST_STEPS = 1_000;
    private static final double LONGEST = 600;
    private static final Set<String> KEYS = Set.of("members", "step");
    private static final Set<String> STEP_KEYS = Set.of("at", "do", "a", "b");

    /** What can be done. */
    public enum Kind {
        /** Nothing passes between two. */
        CUT(true),
        /** Nothing that the first sends reaches the second. */
        CUT_ONE_WAY(true),
        /** All passes again between two. */
        HEAL(true),
        /** All connections between two break. */
        RESET(true),
        /** 200 ms and up to 200 more on the way between two, 64 KB a second. */
        SLOW(true),
        /** The process ends without a word. */
        KILL(false),
        /** It is asked to stop. */
        STOP(false),
        /** It starts, if it does not run. */
        START(false),
        /** It stands still and does not know. */
        PAUSE(false),
        /** It goes on. */
        RESUME(false);

        private final boolean two;

        Kind(boolean two) {
            this.two = two;
        }

        String word() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    /**
     * One fault, or its end.
     *
     * @param at seconds since all saw all
     * @param b the second member; -1 where it concerns one
     */
    public record Step(double at, Kind kind, int a, int b) {
        @Override
        public String toString() {
            return String.format(Locale.ROOT, "%.3f %s %d%s", at, kind.word(), a, b < 0 ? "" : " " + b);
        }
    }

    /** Moments are whole milliseconds, as the file has them. */
    public Schedule {
        steps = steps.stream()
                .map(s -> new Step(Math.rint(s.at() * 1_000) / 1_000, s.kind(), s.a(), s.b()))
                .toList();
        steps = steps.stream().sorted(Comparator.comparingDouble(Step::at)).toList();
    }

    /** A history of faults, some of which end and some of which do not before all is let go. */
    public static Schedule draw(long seed) {
        SplittableRandom chance = new SplittableRandom(seed);
        int members = 3 + chance.nextInt(4);
        List<Step> steps = new ArrayList<>();
        double at = 0.5;
        int faults = 2 + chance.nextInt(4);
        for (int i = 0; i < faults; i++) {
            at += chance.nextDouble() * 3;
            int a = chance.nextInt(members);
            int b = (a + 1 + chance.nextInt(members - 1)) % members;
            double until = at + 0.5 + chance.nextDouble() * 9;
            switch (chance.nextInt(7)) {
                case 0, 1 -> pair(
                        steps, chance.nextBoolean() ? Kind.CUT : Kind.CUT_ONE_WAY, Kind.HEAL, at, until, a, b);
                case 2 -> steps.add(new Step(at, Kind.RESET, a, b));
                case 3 -> pair(steps, Kind.SLOW, Kind.HEAL, at, until, a, b);
                case 4 -> pair(steps, chance.nextBoolean() ? Kind.KILL : Kind.STOP, Kind.START, at, until, a, -1);
                case 5 -> pair(steps, Kind.PAUSE, Kind.RESUME, at, until, a, -1);
                default -> {
                    // a half from the other half
                    int half = members / 2;
                    for (int left = 0; left < half; left++) {
                        for (int right = half; right < members; right++) {
                            pair(steps, Kind.CUT, Kind.HEAL, at, until, left, right);
                        }
                    }
                }
            }
        }
        return new Schedule(members, steps);
    }

    private static void pair(List<Step> steps, Kind begins, Kind ends, double at, double until, int a, int b) {
        steps.add(new Step(at, begins, a, b));
        steps.add(new Step(until, ends, a, b));
    }

    /** The same without one step. */
    Schedule without(int step) {
        List<Step> fewer = new ArrayList<>(steps);
        fewer.remove(step);
        return new Schedule(members, fewer);
    }

    /** Reads a file. */
    public static Schedule read(Path file) throws InvalidConfigurationException, IOException {
        JsonNode root;
        try {
            root = new TomlMapper().readTree(Files.readString(file));
        } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
            throw new InvalidConfigurationException(
                    file + ": " + e.getOriginalMessage().lines().findFirst().orElse("not TOML"));
        }
        DeployFiles.onlyKnown(root, KEYS, file + ": ");
        int members = whole(root, "members", 1, MOST_MEMBERS, file + ": ");
        List<Step> steps = new ArrayList<>();
        if (!root.path("step").isArray() || root.path("step").size() > MOST_STEPS) {
            throw new InvalidConfigurationException(file + ": step must be up to " + MOST_STEPS + " tables");
        }
        for (JsonNode step : root.path("step")) {
            String where = file + ": step " + (steps.size() + 1) + ": ";
            DeployFiles.onlyKnown(step, STEP_KEYS, where);
            if (!step.path("at").isNumber()
                    || !(step.path("at").asDouble() >= 0)
                    || step.path("at").asDouble() > LONGEST) {
                throw new InvalidConfigurationException(
                        where + "at must be a number from 0 to " + LONGEST + ": " + step.path("at"));
            }
            Kind kind = null;
            for (Kind k : Kind.values()) {
                kind = k.word().equals(step.path("do").asText()) ? k : kind;
            }
            if (kind == null) {
                throw new InvalidConfigurationException(where + "do is none of "
                        + String.join(
                                ", ",
                                java.util.Arrays.stream(Kind.values())
                                        .map(Kind::word)
                                        .toList()) + ": " + step.path("do"));
            }
            int a = whole(step, "a", 0, members - 1, where);
            int b = kind.two ? whole(step, "b", 0, members - 1, where) : -1;
            if (a == b) {
                throw new InvalidConfigurationException(where + "a and b are the same member: " + a);
            }
            steps.add(new Step(step.path("at").asDouble(), kind, a, b));
        }
        return new Schedule(members, steps);
    }

    private static int whole(JsonNode of, String key, int least, int most, String where)
            throws InvalidConfigurationException {
        if (!of.path(key).isInt()
                || of.path(key).asInt() < least
                || of.path(key).asInt() > most) {
            throw new InvalidConfigurationException(
                    where + key + " must be a whole number from " + least + " to " + most + ": " + of.path(key));
        }
        return of.path(key).asInt();
    }

    /** The file that reads as this. */
    public String toml() {
        StringBuilder out = new StringBuilder("members = " + members + "\n");
        if (steps.isEmpty()) {
            out.append("step = []\n");
        }
        for (Step s : steps) {
            out.append(String.format(
                    Locale.ROOT,
                    "%n[[step]]%nat = %.3f%ndo = \"%s\"%na = %d%n",
                    s.at(),
                    s.kind().word(),
                    s.a()));
            if (s.b() >= 0) {
                out.append("b = ").append(s.b()).append('\n');
            }
        }
        return out.toString();
    }
}
