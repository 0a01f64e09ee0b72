package org.trefoilpost.model;

import org.trefoilpost.model.base.AbstractName;

/**
 * Name of a pool of workers.
 */
public final class PoolName extends AbstractName {
    private PoolName(String text) {
        super(text);
    }

    /**
     * Obtains a name from its text.
     *
     * @param text  the text, in the form that {@link AbstractName} requires, not null
     * @return the name, not null
     * @throws IllegalArgumentException if the text does not have that form
     */
    public static PoolName of(String text) {
        return new PoolName(text);
    }

    @Override
    protected String kind() {
        return "pool";
    }
}
