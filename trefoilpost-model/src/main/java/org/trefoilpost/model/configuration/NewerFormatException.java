package org.trefoilpost.model.configuration;

/**
 * Thrown when a document has a newer format than this version of the program supports.
 */
public final class NewerFormatException extends RuntimeException {
    private final int format;

    /**
     * Constructs an exception whose message names the document and both formats.
     *
     * @param document  the kind of document, such as {@code configuration head}, not null
     * @param format  the format number of the document
     * @param newestSupported  the highest format number that this version of the program supports
     */
    public NewerFormatException(String document, int format, int newestSupported) {
        super(document + " has format " + format + ", but the newest supported format is " + newestSupported);
        this.format = format;
    }

    /**
     * Returns the format of the document.
     *
     * @return the format number
     */
    public int format() {
        return format;
    }
}
