package org.trefoilpost.model;

import org.trefoilpost.model.base.AbstractName;

/**
 * Name of a team, the unit to which quotas apply.
 */
public final class TeamName extends AbstractName {
    private TeamName(String text) {
        super(text);
    }

    /**
     * Obtains a name from its text.
     *
     * @param text  the text, in the form that {@link AbstractName} requires, not null
     * @return the name, not null
     * @throws IllegalArgumentException if the text does not have that form
     */
    public static TeamName of(String text) {
        return new TeamName(text);
    }

    @Override
    protected String kind() {
        return "team";
    }
}
