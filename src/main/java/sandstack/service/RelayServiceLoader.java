package sandstack.service;

import java.nio.file.Path;
import java.util.Map;
import sandstack.config.CapacityFile;
import sandstack.config.DeployFiles;
import sandstack.config.InvalidConfigurationException;
import sandstack.config.MachineKinds;
import sandstack.config.PlatformConfig;

/** Creates the relay service that the environment and the project's own deploy files describe. */
public final class RelayServiceLoader {
    private static final String DEPLOY_PROPERTY = "sandstack.deploy";
    private static final String DEFAULT_DEPLOY_DIRECTORY = "deploy";
    private static final String FLEET_FILE = "fleet.toml";

    private RelayServiceLoader() {}

    /** The project's own files. */
    public static DeployFiles deployFiles() {
        return new DeployFiles(Path.of(System.getProperty(DEPLOY_PROPERTY, DEFAULT_DEPLOY_DIRECTORY)));
    }

    /**
     * Loads a relay that is no member of a fleet, as the fleet file has to say too.
     *
     * @param capacityFile what is known of the feed servers; null for the deploy directory's own file
     */
    public static RelayService load(Path capacityFile) throws InvalidConfigurationException {
        LogSetup.start();
        if (isFleetEnabled()) {
            throw new InvalidConfigurationException(
                    FLEET_FILE + ": enabled is true, but the command does not say --fleet; it takes both");
        }
        return create(capacityFile);
    }

    /**
     * Loads a relay that becomes a member of the fleet, as the fleet file has to say too.
     *
     * @param capacityFile what is known of the feed servers; null for the deploy directory's own file
     */
    public static RelayService loadFleetMember(Path capacityFile) throws InvalidConfigurationException {
        LogSetup.start();
        if (!isFleetEnabled()) {
            throw new InvalidConfigurationException(
                    FLEET_FILE + ": enabled is false, but the command says --fleet; it takes both");
        }
        return create(capacityFile);
    }

    private static boolean isFleetEnabled() throws InvalidConfigurationException {
        return deployFiles().readIfEnabled(FLEET_FILE) != null;
    }

    private static RelayService create(Path capacityFile) throws InvalidConfigurationException {
        Map<String, String> environment = System.getenv();
        CapacityFile capacity = CapacityFile.read(deployFiles(), capacityFile);
        MachineKinds kinds = new MachineKinds(capacity.kinds());
        return new RelayService(PlatformConfig.load(environment, kinds), environment, deployFiles(), capacity, kinds);
    }
}
