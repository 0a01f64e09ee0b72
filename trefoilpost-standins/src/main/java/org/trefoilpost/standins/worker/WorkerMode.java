package org.trefoilpost.standins.worker;

import java.util.Locale;

/**
 * The state of a worker as its control interface names it.
 */
enum WorkerMode {
    /** The worker takes work. */
    LIVE,
    /** The worker takes no new work and will go. */
    LEAVING,
    /** The worker finishes what runs. */
    STOPPING,
    /** The worker has finished what ran. */
    STOPPED,
    /** The worker is off until it comes back with a higher incarnation. */
    REBOOTING;

    String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
