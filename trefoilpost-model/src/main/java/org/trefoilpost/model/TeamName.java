package org.trefoilpost.model;

import org.trefoilpost.model.base.AbstractName;

/**
 * Name of a team with a quota.
 */
public final class TeamName extends AbstractName {
    private TeamName(String text) {
        super(text);
    }

    /**
     * Obtains a name from its text.
     *
     * @param text  the text, not null
     * @return the name, not null
     * @throws IllegalArgumentException if the text is not a valid name
     */
    public static TeamName of(String text) {
        return new TeamName(text);
    }

    @Override
    protected String kind() {
        return "team";
    }
}
