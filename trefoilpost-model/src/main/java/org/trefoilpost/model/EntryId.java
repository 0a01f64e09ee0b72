package org.trefoilpost.model;

import org.trefoilpost.model.base.AbstractName;

/**
 * Identifier of an entry, a process that accepts requests from callers and forwards them to workers.
 */
public final class EntryId extends AbstractName {
    private EntryId(String text) {
        super(text);
    }

    /**
     * Obtains a name from its text.
     *
     * @param text  the text, in the form that {@link AbstractName} requires, not null
     * @return the name, not null
     * @throws IllegalArgumentException if the text does not have that form
     */
    public static EntryId of(String text) {
        return new EntryId(text);
    }

    @Override
    protected String kind() {
        return "entry";
    }
}
