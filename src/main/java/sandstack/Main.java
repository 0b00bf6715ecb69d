package sandstack;

import java.io.IOException;
import java.nio.file.Path;
import sandstack.cli.ExitCode;
import sandstack.cli.SandstackCommand;
import sandstack.config.InvalidConfigurationException;
import sandstack.service.RelayService;
import sandstack.service.RelayServiceLoader;

/**
 * The program's entry point. Runs {@code serve} and {@code rehearse}, alone or with {@code --capacity FILE} as the
 * platform starts them, without the command line library, which would take start-up time and memory.
 * {@link SandstackCommand} runs everything else.
 */
public final class Main {
    private static final String SERVE = "serve";
    private static final String REHEARSE = "rehearse";
    private static final String CAPACITY_OPTION = "--capacity";

    private Main() {}

    /**
     * Runs the command that the arguments name. Exits with {@link ExitCode#USAGE} if the arguments or the configuration
     * are invalid, and with {@link ExitCode#FAILURE} for other failures.
     */
    public static void main(String[] args) {
        if (!isDirectCommand(args)) {
            System.exit(SandstackCommand.run(args));
        }
        try {
            RelayService service = RelayServiceLoader.load(args.length == 1 ? null : Path.of(args[2]));
            if (args[0].equals(SERVE)) {
                service.serve();
            } else {
                service.rehearse();
            }
        } catch (InvalidConfigurationException e) {
            System.err.println(args[0] + ": " + e.getMessage());
            System.exit(ExitCode.USAGE);
        } catch (IOException e) {
            System.err.println(args[0] + ": input or output failed: " + e.getMessage());
            System.exit(ExitCode.FAILURE);
        }
    }

    private static boolean isDirectCommand(String... args) {
        boolean hasDirectOptions = args.length == 1 || (args.length == 3 && args[1].equals(CAPACITY_OPTION));
        return hasDirectOptions && (args[0].equals(SERVE) || args[0].equals(REHEARSE));
    }
}
