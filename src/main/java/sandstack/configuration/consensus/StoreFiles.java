package sandstack.configuration.consensus;

import org.h2.store.fs.FileUtils;

/** Finds store files through H2, whose file names may have a prefix that {@code java.nio.file} does not accept. */
final class StoreFiles {
    private StoreFiles() {}

    static boolean exists(String file) {
        return FileUtils.exists(file);
    }
}
