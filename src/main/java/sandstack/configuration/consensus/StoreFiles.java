package sandstack.configuration.consensus;

import org.h2.store.fs.FileUtils;

/** Access to the store's files by the names that MVStore accepts. */
final class StoreFiles {
    private StoreFiles() {}

    static boolean exists(String file) {
        return FileUtils.exists(file);
    }
}
