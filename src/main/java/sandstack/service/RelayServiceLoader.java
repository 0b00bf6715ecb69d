package sandstack.service;

import java.nio.file.Path;
import java.util.Map;
import sandstack.config.CapacityFile;
import sandstack.config.DeployFiles;
import sandstack.config.InvalidConfigurationException;
import sandstack.config.MachineKinds;
import sandstack.config.PlatformConfig;

/** Creates the relay service from the environment variables and the deploy files. */
public final class RelayServiceLoader {
    private static final String DEPLOY_PROPERTY = "sandstack.deploy";
    private static final String DEFAULT_DEPLOY_DIRECTORY = "deploy";
    private static final String FLEET_FILE = "fleet.toml";

    private RelayServiceLoader() {}

    /**
     * The deploy files, in the directory that the system property {@value #DEPLOY_PROPERTY} names; by default
     * {@value #DEFAULT_DEPLOY_DIRECTORY}.
     */
    public static DeployFiles deployFiles() {
        return new DeployFiles(Path.of(System.getProperty(DEPLOY_PROPERTY, DEFAULT_DEPLOY_DIRECTORY)));
    }

    /**
     * Loads a relay that is not a member of a fleet.
     *
     * @param capacityFile file with the stated capacities; null for the file in the deploy directory
     * @throws InvalidConfigurationException if the configuration is invalid, or the fleet file enables the fleet
     */
    public static RelayService load(Path capacityFile) throws InvalidConfigurationException {
        LogSetup.start();
        if (isFleetEnabled()) {
            throw new InvalidConfigurationException(
                    FLEET_FILE + ": enabled is true, but --fleet is not given; a member needs both");
        }
        return create(capacityFile);
    }

    /**
     * Loads a relay that is going to be a member of the fleet.
     *
     * @param capacityFile file with the stated capacities; null for the file in the deploy directory
     * @throws InvalidConfigurationException if the configuration is invalid, or the fleet file does not enable the
     *     fleet
     */
    public static RelayService loadFleetMember(Path capacityFile) throws InvalidConfigurationException {
        LogSetup.start();
        if (!isFleetEnabled()) {
            throw new InvalidConfigurationException(
                    FLEET_FILE + ": enabled is false, but --fleet is given; a member needs both");
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
