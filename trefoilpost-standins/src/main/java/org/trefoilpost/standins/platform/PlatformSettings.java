package org.trefoilpost.standins.platform;

import com.beust.jcommander.Parameter;
import org.trefoilpost.model.Endpoint;

/**
 * The settings of the platform's stand-in, which are also the flags of its program.
 */
public final class PlatformSettings {
    @Parameter(names = "--listen", description = "where to listen, as address:port; port 0 for a free port")
    private String listen = "127.0.0.1:0";

    @Parameter(names = "--writes-per-second", description = "the writes that are accepted a second; 0 for no limit")
    private double writesPerSecond;

    @Parameter(names = "--reads-per-second", description = "the reads that are accepted a second; 0 for no limit")
    private double readsPerSecond;

    @Parameter(names = "--list-lag", description = "the lag of the list of instances in milliseconds")
    private long listLagMillis = 1000;

    @Parameter(
            names = "--gone-after",
            description = "an instance's silence in milliseconds until it is gone; 0 for ever")
    private long goneAfterMillis = 5000;

    /**
     * Creates settings with a free port of 127.0.0.1, no limits, a lag of 1 s and instances gone after 5 s of silence.
     */
    public PlatformSettings() {}

    /**
     * Sets where to listen.
     *
     * @param endpoint  the endpoint, port 0 for a free port, not null
     * @return these settings, not null
     */
    public PlatformSettings listen(Endpoint endpoint) {
        this.listen = endpoint.toString();
        return this;
    }

    /**
     * Sets the accepted rates, where 0 means no limit.
     *
     * @param writes  the writes a second, not negative
     * @param reads  the reads a second, not negative
     * @return these settings, not null
     */
    public PlatformSettings rates(double writes, double reads) {
        this.writesPerSecond = writes;
        this.readsPerSecond = reads;
        return this;
    }

    /**
     * Sets the lag of the list of instances.
     *
     * @param millis  the lag in milliseconds, not negative
     * @return these settings, not null
     */
    public PlatformSettings listLagMillis(long millis) {
        this.listLagMillis = millis;
        return this;
    }

    /**
     * Sets the silence after which an instance counts as gone.
     *
     * @param millis  the silence in milliseconds, 0 for ever
     * @return these settings, not null
     */
    public PlatformSettings goneAfterMillis(long millis) {
        this.goneAfterMillis = millis;
        return this;
    }

    Endpoint listen() {
        return Endpoint.parse(listen);
    }

    double writesPerSecond() {
        return writesPerSecond;
    }

    double readsPerSecond() {
        return readsPerSecond;
    }

    long listLagMillis() {
        return listLagMillis;
    }

    long goneAfterMillis() {
        return goneAfterMillis;
    }
}
