package org.trefoilpost.model;

import org.trefoilpost.model.base.AbstractName;

/**
 * Identifier of a job.
 */
public final class JobId extends AbstractName {
    private JobId(String text) {
        super(text);
    }

    /**
     * Obtains a name from its text.
     *
     * @param text  the text, in the form that {@link AbstractName} requires, not null
     * @return the name, not null
     * @throws IllegalArgumentException if the text does not have that form
     */
    public static JobId of(String text) {
        return new JobId(text);
    }

    @Override
    protected String kind() {
        return "job";
    }
}
