package org.trefoilpost.model;

import org.trefoilpost.model.base.AbstractName;

/**
 * Name of an entry instance.
 */
public final class EntryId extends AbstractName {
    private EntryId(String text) {
        super(text);
    }

    /**
     * Obtains a name from its text.
     *
     * @param text  the text, not null
     * @return the name, not null
     * @throws IllegalArgumentException if the text is not a valid name
     */
    public static EntryId of(String text) {
        return new EntryId(text);
    }

    @Override
    protected String kind() {
        return "entry";
    }
}
