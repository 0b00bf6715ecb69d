package sandstack;

import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import sandstack.benchlink.Link;
import sandstack.benchlink.WireException;
import sandstack.config.BadSettings;
import sandstack.config.OwnFiles;
import sandstack.config.PlatformConfig;

/**
 * Entry point: {@code serve} is the relay, {@code console} the same with a console at the terminal,
 * {@code simhost} plays the simulator's wire on standard input and output, and {@code rehearse} is for the build.
 */
public final class Main {
    private Main() {}

    private static Service service() throws BadSettings {
        Logs.start();
        Map<String, String> env = System.getenv();
        return new Service(PlatformConfig.load(env), env, new OwnFiles(Path.of("deploy")));
    }

    public static void main(String[] args) {
        String what = args.length == 1 ? args[0] : "";
        try {
            switch (what) {
                case "serve" -> service().serve();
                case "console" -> service().console();
                case "rehearse" -> service().rehearse();
                case "simhost" -> new Link().run(new FileInputStream(FileDescriptor.in),
                        new FileOutputStream(FileDescriptor.out));
                default -> {
                    System.err.println("usage: java -jar sandstack.jar serve|console|simhost|rehearse");
                    System.exit(2);
                }
            }
        } catch (BadSettings e) {
            System.err.println(what + ": " + e.getMessage());
            System.exit(2);
        } catch (WireException e) {
            System.err.println(what + ": " + e.getMessage());
            System.exit(1);
        } catch (IOException e) {
            System.err.println(what + ": input or output failed: " + e.getMessage());
            System.exit(1);
        }
    }
}
