package sandstack.configuration.consensus;

import org.h2.store.fs.FileUtils;

/** The store's files, by names that the store's library takes. */
final class StoreFiles {
    private StoreFiles() {}

    static boolean exists(String file) {
        return FileUtils.exists(file);
    }
}
