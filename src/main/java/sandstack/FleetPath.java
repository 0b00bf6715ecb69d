package sandstack;

import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.net.URISyntaxException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The class path of a member of a fleet: the program's own and the jars in {@code lib-fleet} beside it. They are on no
 * other command's path, as a relay that is no member would hold a descriptor for each of them. The command is run by
 * classes loaded anew over the whole path.
 */
final class FleetPath {
    private static final String LIBRARY = "io/scalecube/cluster/Cluster.class";

    private FleetPath() {}

    /** Whether these words need a path that this process does not have. */
    static boolean isNeeded(String... args) {
        return Arrays.asList(args).contains("--fleet")
                && FleetPath.class.getClassLoader().getResource(LIBRARY) == null;
    }

    /** Runs the command over the longer path; returns the exit code. */
    static int run(String... args) throws IOException {
        try {
            Path jar = Path.of(FleetPath.class
                    .getProtectionDomain()
                    .getCodeSource()
                    .getLocation()
                    .toURI());
            List<URL> path = new ArrayList<>(List.of(jar.toUri().toURL()));
            for (String folder : List.of("lib", "lib-fleet")) {
                Path libraries = jar.resolveSibling(folder);
                if (!Files.isDirectory(libraries)) {
                    throw new IOException("a member of a fleet needs the jars in " + libraries + "; build the program");
                }
                try (DirectoryStream<Path> jars = Files.newDirectoryStream(libraries, "*.jar")) {
                    for (Path library : jars) {
                        path.add(library.toUri().toURL());
                    }
                }
            }
            // open as long as the process
            URLClassLoader loader =
                    new URLClassLoader("fleet", path.toArray(URL[]::new), ClassLoader.getPlatformClassLoader());
            Thread.currentThread().setContextClassLoader(loader);
            return (int) loader.loadClass("sandstack.CommandLineOfAll")
                    .getDeclaredMethod("run", String[].class)
                    .invoke(null, (Object) args);
        } catch (URISyntaxException | ReflectiveOperationException e) {
            Throwable cause = e instanceof InvocationTargetException ? e.getCause() : e;
            throw new IOException("the fleet's path cannot be used: " + cause, cause);
        }
    }
}
