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

/**
 * {@code measure capacity-page}: writes the generated tables of {@code docs/CAPACITY.md}; with {@code --check}, only
 * compares them and exits 1 if they differ.
 */
@Command(
        name = "capacity-page",
        description =
                "Writes the tables of docs/CAPACITY.md from the planning numbers and cost models in docs/capacity.",
        mixinStandardHelpOptions = true)
public final class CapacityPageCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Option(
            names = "--check",
            description = "Write nothing; exit 1 if the page differs from the tables that the JSON files yield.")
    private boolean check;

    @Option(
            names = "--take",
            paramLabel = "FILE",
            description =
                    "First merge the series of this report, written by measure scale, into the cost models; repeatable.")
    private List<Path> reports = new ArrayList<>();

    @Option(names = "--reckon", description = "First recompute all derived figures of the cost models.")
    private boolean evaluate;

    @Option(
            names = "--root",
            paramLabel = "FOLDER",
            defaultValue = ".",
            description = "Root of the repository (default: the working directory).")
    private Path root;

    @Override
    public Integer call() throws InvalidConfigurationException, IOException {
        if (check && (evaluate || !reports.isEmpty())) {
            throw new ParameterException(
                    spec.commandLine(), "--check cannot be combined with --take or --reckon, which write files");
        }
        Plan plan = CapacityFiles.readPlan(root.resolve(CapacityFiles.PLAN));
        Path costModelFile = root.resolve(CapacityFiles.COST_MODELS);
        CostModels costModels = CapacityFiles.readCostModels(costModelFile);
        if (evaluate || !reports.isEmpty()) {
            costModels = update(costModelFile, plan, costModels);
        }
        CostModelValidator.validate(costModelFile.toString(), plan, costModels);
        return writeOrCheckPage(plan, costModels);
    }

    private CostModels update(Path file, Plan plan, CostModels before)
            throws InvalidConfigurationException, IOException {
        CostModels costModels = before;
        for (Path report : reports) {
            ReportMerge merge = ReportMerge.merge(plan, costModels, CapacityFiles.readReport(report));
            costModels = merge.costModels();
            merge.ignoredSeries()
                    .forEach(id -> printError("ignored series (no cost model or too few distinct sizes): " + id));
        }
        costModels = CostModelEvaluator.evaluateAll(file.toString(), plan, costModels);
        CapacityFiles.writeCostModels(file, costModels);
        return costModels;
    }

    private int writeOrCheckPage(Plan plan, CostModels costModels) throws InvalidConfigurationException, IOException {
        Path file = root.resolve(CapacityFiles.PAGE);
        String before = CapacityFiles.readPage(file);
        String after =
                new PageWithTables(file.toString(), before).replaceTables(new CapacityTables(plan, costModels).all());
        int line = PageWithTables.firstDifference(before, after);
        if (check && line > 0) {
            printError(file + ": line " + line + " differs from what the JSON files yield; run measure capacity-page");
            return 1;
        }
        if (line > 0) {
            Files.writeString(file, after);
        }
        return 0;
    }

    private void printError(String line) {
        spec.commandLine().getErr().println(line);
        spec.commandLine().getErr().flush();
    }
}
