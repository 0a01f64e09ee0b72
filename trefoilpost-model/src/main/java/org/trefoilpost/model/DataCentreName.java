package org.trefoilpost.model;

import org.trefoilpost.model.base.AbstractName;

/**
 * Name of a data centre, the largest failure domain.
 */
public final class DataCentreName extends AbstractName {
    private DataCentreName(String text) {
        super(text);
    }

    /**
     * Obtains a name from its text.
     *
     * @param text  the text, in the form that {@link AbstractName} requires, not null
     * @return the name, not null
     * @throws IllegalArgumentException if the text does not have that form
     */
    public static DataCentreName of(String text) {
        return new DataCentreName(text);
    }

    @Override
    protected String kind() {
        return "data centre";
    }
}
