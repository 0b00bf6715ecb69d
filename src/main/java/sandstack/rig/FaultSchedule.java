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
public record FaultSchedule(int members, List<Step> steps) {
    private static final int MAX_MEMBERS = 100;
    private static final int MAX_STEPS = 1_000;
    private static final double MAX_SECONDS = 600;
    private static final Set<String> ROOT_KEYS = Set.of("members", "step");
    private static final Set<String> STEP_KEYS = Set.of("at", "do", "a", "b");

    /** What can be done. */
    public enum Action {
        /** Nothing passes between two. */
        PARTITION("cut", true),
        /** Nothing that the first sends reaches the second. */
        ONE_WAY_PARTITION("cut-one-way", true),
        /** All passes again between two. */
        HEAL("heal", true),
        /** All connections between two break. */
        RESET("reset", true),
        /** 200 ms and up to 200 more on the way between two, 64 KB a second. */
        SLOW("slow", true),
        /** The process ends without a word. */
        KILL("kill", false),
        /** It is asked to stop. */
        STOP("stop", false),
        /** It starts, if it does not run. */
        START("start", false),
        /** It stands still and does not know. */
        PAUSE("pause", false),
        /** It goes on. */
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
    }

    /**
     * One fault, or its end.
     *
     * @param atSeconds seconds since all saw all
     * @param otherMember the second member; -1 where it concerns one
     */
    public record Step(double atSeconds, Action action, int member, int otherMember) {
        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "%.3f %s %d%s",
                    atSeconds,
                    action.label(),
                    member,
                    otherMember < 0 ? "" : " " + otherMember);
        }
    }

    /** Moments are whole milliseconds, as the file has them. */
    public FaultSchedule {
        steps = steps.stream()
                .map(s -> new Step(Math.rint(s.atSeconds() * 1_000) / 1_000, s.action(), s.member(), s.otherMember()))
                .toList();
        steps = steps.stream()
                .sorted(Comparator.comparingDouble(Step::atSeconds))
                .toList();
    }

    /** A history of faults, some of which end and some of which do not before all is let go. */
    public static FaultSchedule generate(long seed) {
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
                case 0, 1 -> addFaultAndRecovery(
                        steps,
                        chance.nextBoolean() ? Action.PARTITION : Action.ONE_WAY_PARTITION,
                        Action.HEAL,
                        at,
                        until,
                        a,
                        b);
                case 2 -> steps.add(new Step(at, Action.RESET, a, b));
                case 3 -> addFaultAndRecovery(steps, Action.SLOW, Action.HEAL, at, until, a, b);
                case 4 -> addFaultAndRecovery(
                        steps, chance.nextBoolean() ? Action.KILL : Action.STOP, Action.START, at, until, a, -1);
                case 5 -> addFaultAndRecovery(steps, Action.PAUSE, Action.RESUME, at, until, a, -1);
                default -> {
                    // a half from the other half
                    int half = members / 2;
                    for (int left = 0; left < half; left++) {
                        for (int right = half; right < members; right++) {
                            addFaultAndRecovery(steps, Action.PARTITION, Action.HEAL, at, until, left, right);
                        }
                    }
                }
            }
        }
        return new FaultSchedule(members, steps);
    }

    private static void addFaultAndRecovery(
            List<Step> steps, Action begins, Action ends, double at, double until, int a, int b) {
        steps.add(new Step(at, begins, a, b));
        steps.add(new Step(until, ends, a, b));
    }

    /** The same without one step. */
    FaultSchedule without(int step) {
        List<Step> fewer = new ArrayList<>(steps);
        fewer.remove(step);
        return new FaultSchedule(members, fewer);
    }

    /** Reads a file. */
    public static FaultSchedule read(Path file) throws InvalidConfigurationException, IOException {
        JsonNode root;
        try {
            root = new TomlMapper().readTree(Files.readString(file));
        } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
            throw new InvalidConfigurationException(
                    file + ": " + e.getOriginalMessage().lines().findFirst().orElse("not TOML"));
        }
        DeployFiles.onlyKnown(root, ROOT_KEYS, file + ": ");
        int members = readInteger(root, "members", 1, MAX_MEMBERS, file + ": ");
        List<Step> steps = new ArrayList<>();
        if (!root.path("step").isArray() || root.path("step").size() > MAX_STEPS) {
            throw new InvalidConfigurationException(file + ": step must be up to " + MAX_STEPS + " tables");
        }
        for (JsonNode step : root.path("step")) {
            String where = file + ": step " + (steps.size() + 1) + ": ";
            DeployFiles.onlyKnown(step, STEP_KEYS, where);
            if (!step.path("at").isNumber()
                    || !(step.path("at").asDouble() >= 0)
                    || step.path("at").asDouble() > MAX_SECONDS) {
                throw new InvalidConfigurationException(
                        where + "at must be a number from 0 to " + MAX_SECONDS + ": " + step.path("at"));
            }
            Action kind = null;
            for (Action k : Action.values()) {
                kind = k.label().equals(step.path("do").asText()) ? k : kind;
            }
            if (kind == null) {
                throw new InvalidConfigurationException(where + "do is none of "
                        + String.join(
                                ", ",
                                java.util.Arrays.stream(Action.values())
                                        .map(Action::label)
                                        .toList()) + ": " + step.path("do"));
            }
            int a = readInteger(step, "a", 0, members - 1, where);
            int b = kind.betweenTwoMembers ? readInteger(step, "b", 0, members - 1, where) : -1;
            if (a == b) {
                throw new InvalidConfigurationException(where + "a and b are the same member: " + a);
            }
            steps.add(new Step(step.path("at").asDouble(), kind, a, b));
        }
        return new FaultSchedule(members, steps);
    }

    private static int readInteger(JsonNode of, String key, int least, int most, String where)
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
    public String toToml() {
        StringBuilder out = new StringBuilder("members = " + members + "\n");
        if (steps.isEmpty()) {
            out.append("step = []\n");
        }
        for (Step s : steps) {
            out.append(String.format(
                    Locale.ROOT,
                    "%n[[step]]%nat = %.3f%ndo = \"%s\"%na = %d%n",
                    s.atSeconds(),
                    s.action().label(),
                    s.member()));
            if (s.otherMember() >= 0) {
                out.append("b = ").append(s.otherMember()).append('\n');
            }
        }
        return out.toString();
    }
}
