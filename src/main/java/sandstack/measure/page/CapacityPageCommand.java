package sandstack.measure.page;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import sandstack.config.InvalidConfigurationException;

/** {@code measure capacity-page}: writes the tables of the page, or checks them; exits 1 where they differ. */
@Command(
        name = "capacity-page",
        description = "Writes the tables of docs/CAPACITY.md from the planning numbers and slopes in docs/capacity.",
        mixinStandardHelpOptions = true)
public final class CapacityPageCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Option(names = "--check", description = "Write nothing; exit 1 where page and JSON disagree.")
    private boolean check;

    @Option(
            names = "--take",
            paramLabel = "FILE",
            description = "First put the series of this file of measure scale into the slopes; may be given again.")
    private List<Path> taken = new ArrayList<>();

    @Option(names = "--reckon", description = "First work out anew the figures of the slopes that follow from others.")
    private boolean reckon;

    @Option(
            names = "--root",
            paramLabel = "FOLDER",
            defaultValue = ".",
            description = "Root of the repository (default: the working directory).")
    private Path root;

    @Override
    public Integer call() throws InvalidConfigurationException, IOException {
        if (check && (reckon || !taken.isEmpty())) {
            throw new ParameterException(spec.commandLine(), "--check writes nothing; --take and --reckon do");
        }
        Plan plan = CapacityFiles.readPlan(root.resolve(CapacityFiles.PLAN));
        Path slopesFile = root.resolve(CapacityFiles.SLOPES);
        Slopes slopes = CapacityFiles.readSlopes(slopesFile);
        if (reckon || !taken.isEmpty()) {
            slopes = renewed(slopesFile, plan, slopes);
        }
        SlopeCheck.check(slopesFile.toString(), plan, slopes);
        return page(plan, slopes);
    }

    private Slopes renewed(Path file, Plan plan, Slopes before) throws InvalidConfigurationException, IOException {
        Slopes slopes = before;
        for (Path report : taken) {
            TakenReport put = TakenReport.of(plan, slopes, CapacityFiles.readReport(report));
            slopes = put.slopes();
            put.passedOver().forEach(id -> say("not on the page: " + id));
        }
        slopes = Reckoning.of(file.toString(), plan, slopes);
        CapacityFiles.writeSlopes(file, slopes);
        return slopes;
    }

    private int page(Plan plan, Slopes slopes) throws InvalidConfigurationException, IOException {
        Path file = root.resolve(CapacityFiles.PAGE);
        String before = CapacityFiles.readPage(file);
        String after = new MarkedPage(file.toString(), before).with(new CapacityTables(plan, slopes).all());
        int line = MarkedPage.firstDifference(before, after);
        if (check && line > 0) {
            say(file + ": line " + line + " is not what the JSON gives; run measure capacity-page");
            return 1;
        }
        if (line > 0) {
            Files.writeString(file, after);
        }
        return 0;
    }

    private void say(String line) {
        spec.commandLine().getErr().println(line);
        spec.commandLine().getErr().flush();
    }
}
