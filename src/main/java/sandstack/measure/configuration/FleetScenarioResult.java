package sandstack.measure.configuration;

/**
 * What the distribution of the configuration cost and how long it took in a fleet of one size. Rates are a second;
 * times are simulated seconds.
 *
 * @param relays in the fleet
 * @param idle nothing is changed
 * @param changing at the planned rate of changes
 * @param activationSeconds the longest from the agreement on a change until it was in force at all relays
 * @param activationAfterKillSeconds the same where a control machine is lost as the change is made
 * @param convergenceAfterPartitionSeconds from the end of a cut of the two regions until all relays held the same
 * @param convergenceAfterZoneStartSeconds from the start of a zone's relays, all at once, until all held the same
 * @param convergenceAfterStartSeconds from the start of all relays with empty disks until all held the same
 * @param peakHellosAfterKill in the busiest second, at the busiest control machine, after another was lost
 * @param peakHellosAfterZoneStart the same after a zone's relays started
 * @param peakHellosDuringPartition the same while the regions were apart
 */
record FleetScenarioResult(
        int relays,
        Rates idle,
        Rates changing,
        Rates partitioned,
        double activationSeconds,
        double activationAfterKillSeconds,
        double convergenceAfterPartitionSeconds,
        double convergenceAfterZoneStartSeconds,
        double convergenceAfterStartSeconds,
        double peakHellosAfterKill,
        double peakHellosAfterZoneStart,
        double peakHellosDuringPartition,
        double maxSessions,
        double heapBytesPerRelay) {
    /**
     * Rates of one process of each kind; of the control machines the busiest.
     *
     * @param relayCpuMicros of one relay on average, in microseconds of processor time a second
     * @param controlCpuMicros of one control machine on average, the same
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
