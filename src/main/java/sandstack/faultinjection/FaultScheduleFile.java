package sandstack.faultinjection;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import sandstack.config.DeployFiles;
import sandstack.config.InvalidConfigurationException;
import sandstack.faultinjection.FaultSchedule.Action;
import sandstack.faultinjection.FaultSchedule.Step;

/** The TOML form of a {@link FaultSchedule}. */
final class FaultScheduleFile {
    private static final int MAX_MEMBERS = 100;
    private static final int MAX_STEPS = 1_000;
    private static final double MAX_SECONDS = 600;
    private static final Set<String> ROOT_KEYS = Set.of("members", "step");
    private static final Set<String> STEP_KEYS = Set.of("at", "do", "a", "b");

    private FaultScheduleFile() {}

    /**
     * Reads a schedule.
     *
     * @throws InvalidConfigurationException with a message of one line that names the file and, unless the file is not
     *     TOML, the key
     */
    static FaultSchedule read(Path file) throws InvalidConfigurationException, IOException {
        String location = file + ": ";
        JsonNode root;
        try {
            root = new TomlMapper().readTree(Files.readString(file));
        } catch (JsonProcessingException e) {
            throw new InvalidConfigurationException(
                    location + e.getOriginalMessage().lines().findFirst().orElse("not TOML"));
        }
        DeployFiles.requireKnownKeys(root, ROOT_KEYS, location);
        int members = readInteger(root, "members", 1, MAX_MEMBERS, location);
        JsonNode stepTables = root.path("step");
        if (!stepTables.isArray() || stepTables.size() > MAX_STEPS) {
            throw new InvalidConfigurationException(location + "step must be up to " + MAX_STEPS + " tables");
        }
        List<Step> steps = new ArrayList<>();
        for (JsonNode table : stepTables) {
            steps.add(readStep(table, members, location + "step " + (steps.size() + 1) + ": "));
        }
        return new FaultSchedule(members, steps);
    }

    private static Step readStep(JsonNode table, int members, String location) throws InvalidConfigurationException {
        DeployFiles.requireKnownKeys(table, STEP_KEYS, location);
        JsonNode at = table.path("at");
        if (!at.isNumber() || !(at.asDouble() >= 0) || at.asDouble() > MAX_SECONDS) {
            throw new InvalidConfigurationException(
                    location + "at must be a number of seconds from 0 to " + MAX_SECONDS + ": " + at);
        }
        Action action = readAction(table.path("do"), location);
        int member = readInteger(table, "a", 0, members - 1, location);
        int other = action.betweenTwoMembers() ? readInteger(table, "b", 0, members - 1, location) : Step.NO_OTHER;
        if (member == other) {
            throw new InvalidConfigurationException(location + "a and b are the same member: " + member);
        }
        return new Step(at.asDouble(), action, member, other);
    }

    private static Action readAction(JsonNode label, String location) throws InvalidConfigurationException {
        for (Action action : Action.values()) {
            if (action.label().equals(label.asText())) {
                return action;
            }
        }
        String labels = Arrays.stream(Action.values()).map(Action::label).collect(Collectors.joining(", "));
        throw new InvalidConfigurationException(location + "do is none of " + labels + ": " + label);
    }

    private static int readInteger(JsonNode table, String key, int min, int max, String location)
            throws InvalidConfigurationException {
        JsonNode value = table.path(key);
        if (!value.isInt() || value.asInt() < min || value.asInt() > max) {
            throw new InvalidConfigurationException(
                    location + key + " must be a whole number from " + min + " to " + max + ": " + value);
        }
        return value.asInt();
    }

    /** The TOML text of a schedule, from which {@link #read} reads the same schedule. */
    static String format(FaultSchedule schedule) {
        StringBuilder toml = new StringBuilder("members = " + schedule.members() + "\n");
        if (schedule.steps().isEmpty()) {
            toml.append("step = []\n");
        }
        for (Step step : schedule.steps()) {
            toml.append(String.format(
                    Locale.ROOT,
                    "%n[[step]]%nat = %.3f%ndo = \"%s\"%na = %d%n",
                    step.atSeconds(),
                    step.action().label(),
                    step.member()));
            if (step.otherMember() >= 0) {
                toml.append("b = ").append(step.otherMember()).append('\n');
            }
        }
        return toml.toString();
    }
}
