package org.trefoilpost.entry.operator;

/**
 * The version of the program.
 */
public final class Versions {
    private static final String UNKNOWN = "development";

    private Versions() {}

    /**
     * Returns the version of the program.
     *
     * @return the version, not null
     */
    public static String program() {
        String version = Versions.class.getPackage().getImplementationVersion();
        return version == null ? UNKNOWN : version;
    }
}
