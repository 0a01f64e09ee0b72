package org.trefoilpost.model;

import org.trefoilpost.model.base.AbstractName;

/**
 * Name of a region, a group of data centres.
 */
public final class RegionName extends AbstractName {
    private RegionName(String text) {
        super(text);
    }

    /**
     * Obtains a name from its text.
     *
     * @param text  the text, in the form that {@link AbstractName} requires, not null
     * @return the name, not null
     * @throws IllegalArgumentException if the text does not have that form
     */
    public static RegionName of(String text) {
        return new RegionName(text);
    }

    @Override
    protected String kind() {
        return "region";
    }
}
