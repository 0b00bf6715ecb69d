package sandstack.decisions;

/** A client of a {@link SimulatedFleet}, which wants its connection all the time. */
final class SimulatedClient {
    final String key;
    final String group;
    final int zone;
    final int cls;
    boolean returning;
    String id;
    SimulatedRelay relay;
    SimulatedServer at;

    SimulatedClient(String key, String group, int zone, double draw) {
        this.key = key;
        this.group = group;
        this.zone = zone;
        this.cls = draw < 0.5 ? 0 : draw < 0.81 ? 1 : 2;
    }
}
