package sandstack.measure.configuration;

/**
 * Costs and latencies of configuration distribution in a fleet of one size. Rates are per second of simulated time.
 *
 * @param relays size of the fleet
 * @param idle rates without changes
 * @param changing rates at the planned rate of changes
 * @param partitioned rates while the regions are partitioned
 * @param activationSeconds longest time from the commit of a change until it is active at all relays
 * @param kill loss of the control machine with most sessions, immediately before a change is proposed: the seconds from
 *     the proposal until the change is active at all relays
 * @param partition partition of the regions: the hellos during the partition and the seconds from its end until
 *     convergence
 * @param zoneStart simultaneous start of a zone's relays: the seconds from the start until convergence
 * @param convergenceAfterStartSeconds time from the start of all relays with empty disks until convergence
 * @param maxSessions largest number of concurrent sessions at one control machine
 * @param heapBytesPerRelay heap that the fleet occupies, divided by the number of relays; 0 unless measured
 */
record FleetScenarioResult(
        int relays,
        Rates idle,
        Rates changing,
        Rates partitioned,
        double activationSeconds,
        FaultEffect kill,
        FaultEffect partition,
        FaultEffect zoneStart,
        double convergenceAfterStartSeconds,
        double maxSessions,
        double heapBytesPerRelay) {
    /**
     * Effect of a fault.
     *
     * @param seconds time until all relays are up to date again
     * @param peakHellos hellos in the busiest second at the busiest control machine
     */
    record FaultEffect(double seconds, double peakHellos) {}

    /**
     * Rates per process: means of the relays and maxima of the control machines, unless stated otherwise.
     *
     * @param relayMessages messages sent and received
     * @param relayBytes bytes sent and received
     * @param busiestRelayBytes bytes sent and received by the busiest relay
     * @param relayCpuMicros processor time in microseconds; 0 unless measured
     * @param controlMessages messages sent and received
     * @param controlBytes bytes sent and received
     * @param controlOtherRegionBytes part of {@code controlBytes} that crosses regions
     * @param controlCpuMicros mean processor time of a control machine in microseconds; 0 unless measured
     */
    record Rates(
            double relayMessages,
            double relayBytes,
            double busiestRelayBytes,
            double relayCpuMicros,
            double controlMessages,
            double controlBytes,
            double controlOtherRegionBytes,
            double controlCpuMicros) {}
}
