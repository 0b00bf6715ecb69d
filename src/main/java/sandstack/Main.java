package sandstack;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import sandstack.config.BadSettings;
import sandstack.config.CapacityFile;
import sandstack.config.MachineKinds;
import sandstack.config.OwnFiles;
import sandstack.config.PlatformConfig;

/**
 * Entry point. {@code serve} alone, as the platform starts it, goes straight to the relay: the command line's library
 * would cost it start-up time and memory. Everything else is {@link CommandLineOfAll}'s.
 */
public final class Main {
    private Main() {}

    /** Where our own files are. */
    static OwnFiles files() {
        return new OwnFiles(Path.of(System.getProperty("sandstack.deploy", "deploy")));
    }

    static Service service() throws BadSettings {
        Logs.start();
        Map<String, String> env = System.getenv();
        CapacityFile capacity = CapacityFile.read(files());
        MachineKinds kinds = new MachineKinds(capacity.kinds());
        return new Service(PlatformConfig.load(env, kinds), env, files(), capacity, kinds);
    }

    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("serve") && !args[0].equals("rehearse")) {
            System.exit(CommandLineOfAll.run(args));
        }
        try {
            if (args[0].equals("serve")) {
                service().serve();
            } else {
                service().rehearse();
            }
        } catch (BadSettings e) {
            System.err.println(args[0] + ": " + e.getMessage());
            System.exit(2);
        } catch (IOException e) {
            System.err.println(args[0] + ": input or output failed: " + e.getMessage());
            System.exit(1);
        }
    }
}
