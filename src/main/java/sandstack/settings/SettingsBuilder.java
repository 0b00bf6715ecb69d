package sandstack.settings;

import java.util.List;
import sandstack.decisions.Decisions.RequestClass;
import sandstack.decisions.Decisions.Settings;
import sandstack.decisions.Decisions.Tenant;

/**
 * Builds {@link Settings} by name. What is not set has a value that changes nothing: one instance in one zone, no
 * tenants, no prices, servers that start warm. Not safe for use by several threads.
 */
public final class SettingsBuilder {
    private int self;
    private int instances = 1;
    private int homeZone;
    private int zones = 1;
    private List<RequestClass> classes;
    private List<Tenant> tenants = List.of();
    private double overShareWorth = 1;
    private boolean worthByWork;
    private boolean passThrough;
    private boolean sharedGroups;
    private boolean listOnRequest;
    private long askWithin;
    private int maxAttempts = 6;
    private long connectTimeout;
    private boolean retryAfter;
    private long maxRetryAfter;
    private boolean probes;
    private double probePrice;
    private boolean peers;
    private double peerPrice;
    private double crossZonePrice;
    private double movePrice;
    private long drainGrace;
    private double coldFrom = 1;
    private long warmAfter;
    private double tipMultiple = 1;
    private long tipAfter;
    private boolean sized;

    private SettingsBuilder(List<RequestClass> classes) {
        this.classes = classes;
    }

    private SettingsBuilder(Settings settings) {
        self = settings.self();
        instances = settings.instances();
        homeZone = settings.homeZone();
        zones = settings.zones();
        classes = settings.classes();
        tenants = settings.tenants();
        overShareWorth = settings.overShareWorth();
        worthByWork = settings.worthByWork();
        passThrough = settings.passThrough();
        sharedGroups = settings.sharedGroups();
        listOnRequest = settings.listOnRequest();
        askWithin = settings.askWithin();
        maxAttempts = settings.maxAttempts();
        connectTimeout = settings.connectTimeout();
        retryAfter = settings.retryAfter();
        maxRetryAfter = settings.maxRetryAfter();
        probes = settings.probes();
        probePrice = settings.probePrice();
        peers = settings.peers();
        peerPrice = settings.peerPrice();
        crossZonePrice = settings.crossZonePrice();
        movePrice = settings.movePrice();
        drainGrace = settings.drainGrace();
        coldFrom = settings.coldFrom();
        warmAfter = settings.warmAfter();
        tipMultiple = settings.tipMultiple();
        tipAfter = settings.tipAfter();
        sized = settings.sized();
    }

    /** Builds settings for these classes. */
    public static SettingsBuilder of(List<RequestClass> classes) {
        return new SettingsBuilder(classes);
    }

    /** Begins with these settings. */
    public static SettingsBuilder from(Settings settings) {
        return new SettingsBuilder(settings);
    }

    /** Takes number and zone of an instance, and the zones that there are, from its settings. */
    public SettingsBuilder forInstanceOf(Settings instance) {
        return self(instance.self()).homeZone(instance.homeZone()).zones(instance.zones());
    }

    /** Sets {@link Settings#self}. */
    public SettingsBuilder self(int value) {
        self = value;
        return this;
    }

    /** Sets {@link Settings#instances}. */
    public SettingsBuilder instances(int value) {
        instances = value;
        return this;
    }

    /** Sets {@link Settings#homeZone}. */
    public SettingsBuilder homeZone(int value) {
        homeZone = value;
        return this;
    }

    /** Sets {@link Settings#zones}. */
    public SettingsBuilder zones(int value) {
        zones = value;
        return this;
    }

    /** Sets {@link Settings#classes}. */
    public SettingsBuilder classes(List<RequestClass> value) {
        classes = value;
        return this;
    }

    /** Sets {@link Settings#tenants}. */
    public SettingsBuilder tenants(List<Tenant> value) {
        tenants = value;
        return this;
    }

    /** Sets {@link Settings#overShareWorth}. */
    public SettingsBuilder overShareWorth(double value) {
        overShareWorth = value;
        return this;
    }

    /** Sets {@link Settings#worthByWork}. */
    public SettingsBuilder worthByWork(boolean value) {
        worthByWork = value;
        return this;
    }

    /** Sets {@link Settings#passThrough}. */
    public SettingsBuilder passThrough(boolean value) {
        passThrough = value;
        return this;
    }

    /** Sets {@link Settings#sharedGroups}. */
    public SettingsBuilder sharedGroups(boolean value) {
        sharedGroups = value;
        return this;
    }

    /** Sets {@link Settings#listOnRequest}. */
    public SettingsBuilder listOnRequest(boolean value) {
        listOnRequest = value;
        return this;
    }

    /** Sets {@link Settings#askWithin}. */
    public SettingsBuilder askWithin(long value) {
        askWithin = value;
        return this;
    }

    /** Sets {@link Settings#maxAttempts}. */
    public SettingsBuilder maxAttempts(int value) {
        maxAttempts = value;
        return this;
    }

    /** Sets {@link Settings#connectTimeout}. */
    public SettingsBuilder connectTimeout(long value) {
        connectTimeout = value;
        return this;
    }

    /** Sets {@link Settings#retryAfter}. */
    public SettingsBuilder retryAfter(boolean value) {
        retryAfter = value;
        return this;
    }

    /** Sets {@link Settings#maxRetryAfter}. */
    public SettingsBuilder maxRetryAfter(long value) {
        maxRetryAfter = value;
        return this;
    }

    /** Sets {@link Settings#probes}. */
    public SettingsBuilder probes(boolean value) {
        probes = value;
        return this;
    }

    /** Sets {@link Settings#probePrice}. */
    public SettingsBuilder probePrice(double value) {
        probePrice = value;
        return this;
    }

    /** Sets {@link Settings#peers}. */
    public SettingsBuilder peers(boolean value) {
        peers = value;
        return this;
    }

    /** Sets {@link Settings#peerPrice}. */
    public SettingsBuilder peerPrice(double value) {
        peerPrice = value;
        return this;
    }

    /** Sets {@link Settings#crossZonePrice}. */
    public SettingsBuilder crossZonePrice(double value) {
        crossZonePrice = value;
        return this;
    }

    /** Sets {@link Settings#movePrice}. */
    public SettingsBuilder movePrice(double value) {
        movePrice = value;
        return this;
    }

    /** Sets {@link Settings#drainGrace}. */
    public SettingsBuilder drainGrace(long value) {
        drainGrace = value;
        return this;
    }

    /** Sets {@link Settings#coldFrom}. */
    public SettingsBuilder coldFrom(double value) {
        coldFrom = value;
        return this;
    }

    /** Sets {@link Settings#warmAfter}. */
    public SettingsBuilder warmAfter(long value) {
        warmAfter = value;
        return this;
    }

    /** Sets {@link Settings#tipMultiple}. */
    public SettingsBuilder tipMultiple(double value) {
        tipMultiple = value;
        return this;
    }

    /** Sets {@link Settings#tipAfter}. */
    public SettingsBuilder tipAfter(long value) {
        tipAfter = value;
        return this;
    }

    /** Sets {@link Settings#sized}. */
    public SettingsBuilder sized(boolean value) {
        sized = value;
        return this;
    }

    /**
     * The settings as they were set.
     *
     * @throws IllegalArgumentException where they make no sense; names the setting
     */
    public Settings build() {
        return new Settings(
                self,
                instances,
                homeZone,
                zones,
                classes,
                tenants,
                overShareWorth,
                worthByWork,
                passThrough,
                sharedGroups,
                listOnRequest,
                askWithin,
                maxAttempts,
                connectTimeout,
                retryAfter,
                maxRetryAfter,
                probes,
                probePrice,
                peers,
                peerPrice,
                crossZonePrice,
                movePrice,
                drainGrace,
                coldFrom,
                warmAfter,
                tipMultiple,
                tipAfter,
                sized);
    }
}
