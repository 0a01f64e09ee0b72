package org.trefoilpost.decision.plan;

import java.util.Objects;

/**
 * An intent to take a worker, a rack or a data centre out of service until its workers are released.
 */
public final class DrainIntent implements Intent {
    private final DrainScope scope;
    private final String name;

    private DrainIntent(DrainScope scope, String name) {
        this.scope = Objects.requireNonNull(scope, "scope");
        this.name = Objects.requireNonNull(name, "name");
    }

    /**
     * Returns an intent to drain a worker, a rack or a data centre.
     *
     * @param scope  what the name refers to: a worker, a rack or a data centre, not null
     * @param name  the name of the worker, rack or data centre, not null
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
     * Returns what the name refers to.
     *
     * @return the scope, not null
     */
    public DrainScope scope() {
        return scope;
    }

    /**
     * Returns the name of the worker, rack or data centre.
     *
     * @return the name, not null
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
     * Returns the kind and the values of the fields.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return kind() + " " + scope + " " + name;
    }
}
