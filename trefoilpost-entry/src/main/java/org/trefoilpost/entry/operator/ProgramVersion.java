package org.trefoilpost.entry.operator;

/**
 * The version of the program.
 */
public final class ProgramVersion {
    private static final String UNKNOWN = "development";

    private ProgramVersion() {}

    /**
     * Returns the version of the program.
     *
     * @return the version, not null
     */
    public static String current() {
        String version = ProgramVersion.class.getPackage().getImplementationVersion();
        return version == null ? UNKNOWN : version;
    }
}
