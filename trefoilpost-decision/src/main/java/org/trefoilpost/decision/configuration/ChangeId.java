package org.trefoilpost.decision.configuration;

import org.trefoilpost.model.base.AbstractName;

/**
 * Unique id of one change of the configuration.
 *
 * <p>The head lists the ids of recent changes, so that a change whose answer was lost can be found there.
 */
public final class ChangeId extends AbstractName {
    private ChangeId(String text) {
        super(text);
    }

    /**
     * Obtains an id from its text.
     *
     * @param text  the text, not null
     * @return the id, not null
     * @throws IllegalArgumentException if the text is not a valid name
     */
    public static ChangeId of(String text) {
        return new ChangeId(text);
    }

    @Override
    protected String kind() {
        return "change";
    }
}
