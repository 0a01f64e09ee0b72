package org.trefoilpost.model;

import org.trefoilpost.model.base.AbstractName;

/**
 * Name of a rack, the smallest failure domain of more than one worker.
 */
public final class RackName extends AbstractName {
    private RackName(String text) {
        super(text);
    }

    /**
     * Obtains a name from its text.
     *
     * @param text  the text, in the form that {@link AbstractName} requires, not null
     * @return the name, not null
     * @throws IllegalArgumentException if the text does not have that form
     */
    public static RackName of(String text) {
        return new RackName(text);
    }

    @Override
    protected String kind() {
        return "rack";
    }
}
