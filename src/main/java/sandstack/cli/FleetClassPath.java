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
 * Runs a command with the class path of a fleet member, which adds the jars in {@code lib-fleet} beside the program.
 * They are not on the default class path because each takes a file descriptor, also in a relay that is not a member. A
 * new class loader loads the program's classes again, with the complete class path.
 */
final class FleetClassPath {
    private static final String FLEET_OPTION = "--fleet";
    private static final String FLEET_LIBRARY_CLASS = "io/scalecube/cluster/Cluster.class";
    private static final List<String> LIBRARY_DIRECTORIES = List.of("lib", "lib-fleet");

    private FleetClassPath() {}

    /** Whether the command needs the fleet's jars and the current class path does not contain them. */
    static boolean isNeeded(String... args) {
        return Arrays.asList(args).contains(FLEET_OPTION)
                && FleetClassPath.class.getClassLoader().getResource(FLEET_LIBRARY_CLASS) == null;
    }

    /** Runs the command with the complete class path; returns the exit code. */
    static int run(String... args) throws IOException {
        try {
            // the class loader stays open until the process ends
            URLClassLoader loader = new URLClassLoader("fleet", classPath(), ClassLoader.getPlatformClassLoader());
            Thread.currentThread().setContextClassLoader(loader);
            return (int) loader.loadClass(SandstackCommand.class.getName())
                    .getDeclaredMethod("run", String[].class)
                    .invoke(null, (Object) args);
        } catch (URISyntaxException | ReflectiveOperationException e) {
            Throwable cause = e instanceof InvocationTargetException ? e.getCause() : e;
            throw new IOException("the fleet class path cannot be used: " + cause, cause);
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
                throw new IOException("a fleet member needs the jars in " + directory + "; build the program first");
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
