package sandstack.cli;

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
 * The class path of a fleet member: the program's own and the jars in {@code lib-fleet} beside it. Those are on no
 * other command's path, as a relay that is no member would hold a descriptor for each of them. The command is run by
 * classes that a new class loader loads over the complete path.
 */
final class FleetClassPath {
    private static final String FLEET_OPTION = "--fleet";
    private static final String FLEET_LIBRARY_CLASS = "io/scalecube/cluster/Cluster.class";
    private static final List<String> LIBRARY_DIRECTORIES = List.of("lib", "lib-fleet");

    private FleetClassPath() {}

    /** Whether the command needs a class path that this process does not have. */
    static boolean isNeeded(String... args) {
        return Arrays.asList(args).contains(FLEET_OPTION)
                && FleetClassPath.class.getClassLoader().getResource(FLEET_LIBRARY_CLASS) == null;
    }

    /** Runs the command over the complete class path; returns the exit code. */
    static int run(String... args) throws IOException {
        try {
            // the class loader stays open as long as the process
            URLClassLoader loader = new URLClassLoader("fleet", classPath(), ClassLoader.getPlatformClassLoader());
            Thread.currentThread().setContextClassLoader(loader);
            return (int) loader.loadClass(SandstackCommand.class.getName())
                    .getDeclaredMethod("run", String[].class)
                    .invoke(null, (Object) args);
        } catch (URISyntaxException | ReflectiveOperationException e) {
            Throwable cause = e instanceof InvocationTargetException ? e.getCause() : e;
            throw new IOException("the fleet's path cannot be used: " + cause, cause);
        }
    }

    private static URL[] classPath() throws IOException, URISyntaxException {
        Path jar = Path.of(FleetClassPath.class
                .getProtectionDomain()
                .getCodeSource()
                .getLocation()
                .toURI());
        List<URL> classPath = new ArrayList<>(List.of(jar.toUri().toURL()));
        for (String name : LIBRARY_DIRECTORIES) {
            Path directory = jar.resolveSibling(name);
            if (!Files.isDirectory(directory)) {
                throw new IOException("a member of a fleet needs the jars in " + directory + "; build the program");
            }
            try (DirectoryStream<Path> libraries = Files.newDirectoryStream(directory, "*.jar")) {
                for (Path library : libraries) {
                    classPath.add(library.toUri().toURL());
                }
            }
        }
        return classPath.toArray(URL[]::new);
    }
}
