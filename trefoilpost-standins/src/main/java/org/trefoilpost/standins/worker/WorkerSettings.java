package org.trefoilpost.standins.worker;

import com.beust.jcommander.Parameter;
import java.nio.file.Path;
import java.util.Optional;
import org.trefoilpost.model.Endpoint;

/**
 * The settings of one worker stand-in, which are also flags of its program.
 */
public final class WorkerSettings implements Cloneable {
    @Parameter(names = "--id", description = "the worker's name")
    private String id = "w1";

    @Parameter(names = "--rack", description = "the worker's rack")
    private String rack = "r1";

    @Parameter(names = "--data-centre", description = "the worker's data centre")
    private String dataCentre = "dc1";

    @Parameter(names = "--region", description = "the worker's region")
    private String region = "region1";

    @Parameter(names = "--listen", description = "where to listen, as address:port; port 0 for a free port")
    private String listen = "127.0.0.1:0";

    @Parameter(names = "--platform", description = "the platform's address:port; without it the worker is in no list")
    private String platform;

    @Parameter(names = "--slots", description = "the requests that run at the same time")
    private int slots = 8;

    @Parameter(names = "--connections", description = "the connections that are accepted at the same time")
    private int connections = 64;

    @Parameter(names = "--cores", description = "the worker's cores")
    private int cores = 32;

    @Parameter(names = "--memory-mb", description = "the worker's memory in MiB")
    private long memoryMb = 131_072;

    @Parameter(names = "--accelerators", description = "the worker's accelerators")
    private int accelerators;

    @Parameter(names = "--run-log", description = "the file that gets a line for each request, task, stop and reboot")
    private String runLog;

    @Parameter(names = "--service-millis", description = "the time that a request takes in milliseconds")
    private long serviceMillis = 5;

    @Parameter(names = "--reboot-millis", description = "the time that a reboot takes in milliseconds")
    private long rebootMillis = 300;

    @Parameter(names = "--incarnation", description = "the first incarnation; 0 takes the time in milliseconds")
    private long incarnation;

    /**
     * Creates settings of the worker w1 in the rack r1 with a free port of 127.0.0.1, 8 slots and no platform.
     */
    public WorkerSettings() {}

    /**
     * Sets the worker's name and rack.
     *
     * @param newId  the worker's name, not null
     * @param newRack  the rack's name, not null
     * @return these settings, not null
     */
    public WorkerSettings named(String newId, String newRack) {
        this.id = newId;
        this.rack = newRack;
        return this;
    }

    /**
     * Sets where the worker stands.
     *
     * @param newDataCentre  the data centre's name, not null
     * @param newRegion  the region's name, not null
     * @return these settings, not null
     */
    public WorkerSettings placed(String newDataCentre, String newRegion) {
        this.dataCentre = newDataCentre;
        this.region = newRegion;
        return this;
    }

    /**
     * Sets where to listen.
     *
     * @param endpoint  the endpoint, port 0 for a free port, not null
     * @return these settings, not null
     */
    public WorkerSettings listen(Endpoint endpoint) {
        this.listen = endpoint.toString();
        return this;
    }

    /**
     * Sets the platform with which the worker registers itself.
     *
     * @param endpoint  the platform's endpoint, not null
     * @return these settings, not null
     */
    public WorkerSettings platform(Endpoint endpoint) {
        this.platform = endpoint.toString();
        return this;
    }

    /**
     * Sets the limits of running requests and of open connections.
     *
     * @param newSlots  the requests that run at the same time, positive
     * @param newConnections  the connections that are accepted at the same time, positive
     * @return these settings, not null
     */
    public WorkerSettings limits(int newSlots, int newConnections) {
        this.slots = newSlots;
        this.connections = newConnections;
        return this;
    }

    /**
     * Sets what the worker has.
     *
     * @param newCores  the cores, positive
     * @param newMemoryMb  the memory in MiB, positive
     * @param newAccelerators  the accelerators, not negative
     * @return these settings, not null
     */
    public WorkerSettings resources(int newCores, long newMemoryMb, int newAccelerators) {
        this.cores = newCores;
        this.memoryMb = newMemoryMb;
        this.accelerators = newAccelerators;
        return this;
    }

    /**
     * Sets the file of the run log.
     *
     * @param file  the file, which is appended to, not null
     * @return these settings, not null
     */
    public WorkerSettings runLog(Path file) {
        this.runLog = file.toString();
        return this;
    }

    /**
     * Sets how long a request and a reboot take.
     *
     * @param newServiceMillis  the time of a request in milliseconds, not negative
     * @param newRebootMillis  the time of a reboot in milliseconds, not negative
     * @return these settings, not null
     */
    public WorkerSettings times(long newServiceMillis, long newRebootMillis) {
        this.serviceMillis = newServiceMillis;
        this.rebootMillis = newRebootMillis;
        return this;
    }

    /**
     * Sets the first incarnation.
     *
     * @param newIncarnation  the incarnation, 0 to take the time in milliseconds
     * @return these settings, not null
     */
    public WorkerSettings incarnation(long newIncarnation) {
        this.incarnation = newIncarnation;
        return this;
    }

    WorkerSettings copy() {
        try {
            return (WorkerSettings) clone();
        } catch (CloneNotSupportedException e) {
            throw new AssertionError(e);
        }
    }

    String id() {
        return id;
    }

    String rack() {
        return rack;
    }

    String dataCentre() {
        return dataCentre;
    }

    String region() {
        return region;
    }

    Endpoint listen() {
        return Endpoint.parse(listen);
    }

    Optional<Endpoint> platform() {
        return Optional.ofNullable(platform).map(Endpoint::parse);
    }

    int slots() {
        return slots;
    }

    int connections() {
        return connections;
    }

    int cores() {
        return cores;
    }

    long memoryMb() {
        return memoryMb;
    }

    int accelerators() {
        return accelerators;
    }

    Optional<Path> runLog() {
        return Optional.ofNullable(runLog).map(Path::of);
    }

    long serviceMillis() {
        return serviceMillis;
    }

    long rebootMillis() {
        return rebootMillis;
    }

    long incarnation() {
        return incarnation;
    }
}
