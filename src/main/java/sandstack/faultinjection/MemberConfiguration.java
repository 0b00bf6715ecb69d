package sandstack.faultinjection;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * The configuration files of one member of a {@link ProcessFleet}.
 *
 * @param name name of this member
 * @param address {@code HOST:PORT} at which it listens, and by which the other members identify it
 * @param seedAddresses addresses of the members that it contacts first
 * @param relayNames names of all members of the fleet
 * @param linkPorts loopback port of the link to each other member, by that member's address; written in the iteration
 *     order of the map
 */
record MemberConfiguration(
        int index,
        String name,
        String host,
        String address,
        List<String> seedAddresses,
        List<String> relayNames,
        Map<String, Integer> linkPorts,
        int discoveryPort,
        int zones) {
    private static final Path EXAMPLE = Path.of("examples/config.json");

    /** Writes the files into the member's folder; creates the folder if necessary. */
    void write(Path folder) throws IOException {
        Path deployFolder = deployFolder(folder);
        Files.createDirectories(deployFolder);
        Files.writeString(deployFolder.resolve("fleet.toml"), fleetToml());
        Files.writeString(folder.resolve("config.json"), configJson());
    }

    static Path deployFolder(Path folder) {
        return folder.resolve("deploy");
    }

    private String fleetToml() {
        StringBuilder toml = new StringBuilder("enabled = true\ninstallation = \"rig\"\n");
        toml.append("listen = ").append(quote(address)).append('\n');
        toml.append("machine = \"machine-").append(index).append("\"\n");
        toml.append("members = ").append(quotedList(seedAddresses)).append('\n');
        toml.append("relays = ").append(quotedList(relayNames)).append("\n[via]\n");
        linkPorts.forEach((peerAddress, port) -> toml.append(quote(peerAddress))
                .append(" = \"127.0.0.1:")
                .append(port)
                .append("\"\n"));
        return toml.toString();
    }

    private String configJson() throws IOException {
        List<String> zoneNames =
                IntStream.range(0, zones).mapToObj(zone -> "zone-" + zone).toList();
        return Files.readString(EXAMPLE)
                .replaceFirst("\"name\": *\"[^\"]*\"", "\"name\": " + quote(name))
                .replaceFirst("\"listen\": *\"[^\"]*\"", "\"listen\": \"" + host + ":0\"")
                .replaceFirst("\"discovery\": *\"[^\"]*\"", "\"discovery\": \"127.0.0.1:" + discoveryPort + "\"")
                .replaceFirst("\"known\": *\\{[^]]*]\\s*},", "")
                .replaceFirst("\"locality\": *0", "\"locality\": " + index % zones)
                .replaceFirst("\"zones\": *\\[[^]]*]", "\"zones\": " + quotedList(zoneNames));
    }

    private static String quote(String text) {
        return '"' + text + '"';
    }

    private static String quotedList(List<String> texts) {
        return texts.stream().map(MemberConfiguration::quote).collect(Collectors.joining(", ", "[", "]"));
    }
}
