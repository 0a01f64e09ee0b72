package org.trefoilpost.decision.plan;

import java.util.Objects;

/**
 * Takes a worker, a rack or a data centre out of service until it is released.
 */
public final class DrainIntent implements Intent {
    private final DrainScope scope;
    private final String name;

    private DrainIntent(DrainScope scope, String name) {
        this.scope = Objects.requireNonNull(scope, "scope");
        this.name = Objects.requireNonNull(name, "name");
    }

    /**
     * Obtains the intent.
     *
     * @param scope  the scope, not null
     * @param name  the name of what is drained, not null
     * @return the intent, not null
     */
    public static DrainIntent of(DrainScope scope, String name) {
        return new DrainIntent(scope, name);
    }

    @Override
    public String kind() {
        return "drain";
    }

    /**
     * Returns the scope.
     *
     * @return the scope, not null
     */
    public DrainScope scope() {
        return scope;
    }

    /**
     * Returns the name of what is drained.
     *
     * @return the name of what is drained, not null
     */
    public String name() {
        return name;
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof DrainIntent other && other.scope.equals(scope) && other.name.equals(name);
    }

    @Override
    public int hashCode() {
        return Objects.hash(scope, name);
    }

    /**
     * Returns the kind and the fields.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return kind() + " " + scope + " " + name;
    }
}
