package org.trefoilpost.model;

import org.trefoilpost.model.base.AbstractName;

/**
 * Identifier of a worker, an instance that belongs to one pool.
 */
public final class WorkerId extends AbstractName {
    private WorkerId(String text) {
        super(text);
    }

    /**
     * Obtains a name from its text.
     *
     * @param text  the text, in the form that {@link AbstractName} requires, not null
     * @return the name, not null
     * @throws IllegalArgumentException if the text does not have that form
     */
    public static WorkerId of(String text) {
        return new WorkerId(text);
    }

    @Override
    protected String kind() {
        return "worker";
    }
}
