package org.trefoilpost.decision.job;

import java.util.Collection;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeSet;

/**
 * Decides when an entry asks another entry for the configuration, and which one: from half of the bound on, a different
 * one each time, since some may be cut off from the store too or be behind a silent connection.
 */
public final class ConfigurationInquiry {
    /** About ten entries are asked between half of the smallest bound and the bound. */
    private static final long INTERVAL_MILLIS = 100;

    /** Interval once the configuration is unconfirmed for long, when no entry may reach the store. */
    private static final long LONG_INTERVAL_MILLIS = 500;

    private final ConfigurationBound bound;
    private String lastAsked;
    private long nextMillis = Long.MIN_VALUE;
    private OptionalLong unconfirmedSinceMillis = OptionalLong.empty();

    /**
     * Constructs an inquiry that has asked nobody.
     *
     * @param bound  the bound of the configuration, not null
     * @param self  the name of this entry, not null; different entries begin with different ones
     */
    public ConfigurationInquiry(ConfigurationBound bound, String self) {
        this.bound = bound;
        this.lastAsked = self;
    }

    /**
     * Returns the entry to ask now, which then counts as asked.
     *
     * @param ageMillis  the age of the confirmation in milliseconds, empty if there is none, not null
     * @param peers  the names of the other live entries, not null
     * @param nowMillis  the present time on the steady clock in milliseconds
     * @return the name, empty if nobody is to be asked now, not null
     */
    public Optional<String> peerToAsk(OptionalLong ageMillis, Collection<String> peers, long nowMillis) {
        if (ageMillis.isPresent() && bound.isConfirmed(ageMillis)) {
            unconfirmedSinceMillis = OptionalLong.empty();
        } else if (unconfirmedSinceMillis.isEmpty()) {
            unconfirmedSinceMillis = OptionalLong.of(nowMillis);
        }
        boolean young = ageMillis.isPresent() && ageMillis.getAsLong() <= bound.applyMillis() / 2;
        if (young || nowMillis < nextMillis || peers.isEmpty()) {
            return Optional.empty();
        }
        nextMillis = nowMillis + intervalMillis(nowMillis);
        TreeSet<String> names = new TreeSet<>(peers);
        String next = names.higher(lastAsked);
        lastAsked = next == null ? names.first() : next;
        return Optional.of(lastAsked);
    }

    private long intervalMillis(long nowMillis) {
        boolean longUnconfirmed = unconfirmedSinceMillis.isPresent()
                && nowMillis - unconfirmedSinceMillis.getAsLong() > bound.applyMillis();
        return longUnconfirmed ? LONG_INTERVAL_MILLIS : INTERVAL_MILLIS;
    }
}
