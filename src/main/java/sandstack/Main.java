package sandstack;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import sandstack.config.CapacityFile;
import sandstack.config.DeployFiles;
import sandstack.config.InvalidConfigurationException;
import sandstack.config.MachineKinds;
import sandstack.config.PlatformConfig;

/**
 * Entry point. {@code serve}, alone or with {@code --capacity FILE} as the platform starts it, goes straight to the
 * relay: the command line's library would cost it start-up time and memory. Everything else is
 * {@link CommandLineOfAll}'s.
 */
public final class Main {
    private Main() {}

    /** Where our own files are. */
    static DeployFiles files() {
        return new DeployFiles(Path.of(System.getProperty("sandstack.deploy", "deploy")));
    }

    /**
     * The relay that the environment and our own files describe.
     *
     * @param named what is known of the feed servers; null where that is what our own file says
     * @param fleet whether the command asks for a member of the fleet; the file has to agree, so that neither of the
     *     two turns it on, or leaves it off, by accident
     */
    static Service service(Path named, boolean fleet) throws InvalidConfigurationException {
        Logs.start();
        boolean enabled = files().enabled("fleet.toml") != null;
        if (enabled != fleet) {
            throw new InvalidConfigurationException("fleet.toml: enabled is " + enabled + ", but the command "
                    + (fleet ? "says --fleet" : "does not say --fleet") + "; it takes both");
        }
        Map<String, String> env = System.getenv();
        CapacityFile capacity = CapacityFile.read(files(), named);
        MachineKinds kinds = new MachineKinds(capacity.kinds());
        return new Service(PlatformConfig.load(env, kinds), env, files(), capacity, kinds);
    }

    /** Runs the command that the arguments name; exits with 2 for bad usage or settings, 1 for other failures. */
    public static void main(String[] args) {
        boolean serves = args.length == 1 || args.length == 3 && args[1].equals("--capacity");
        if (!serves || !args[0].equals("serve") && !args[0].equals("rehearse")) {
            System.exit(CommandLineOfAll.run(args));
        }
        try {
            Service service = service(args.length == 1 ? null : Path.of(args[2]), false);
            if (args[0].equals("serve")) {
                service.serve();
            } else {
                service.rehearse();
            }
        } catch (InvalidConfigurationException e) {
            System.err.println(args[0] + ": " + e.getMessage());
            System.exit(2);
        } catch (IOException e) {
            System.err.println(args[0] + ": input or output failed: " + e.getMessage());
            System.exit(1);
        }
    }
}
