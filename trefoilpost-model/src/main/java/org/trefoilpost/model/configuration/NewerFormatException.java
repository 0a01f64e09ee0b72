package org.trefoilpost.model.configuration;

/**
 * Thrown when a document was written in a newer format than this program knows.
 */
public final class NewerFormatException extends RuntimeException {
    private final int format;

    /**
     * Constructs an exception.
     *
     * @param document  what the document is, such as {@code configuration head}, not null
     * @param format  the format of the document
     * @param known  the newest format that this program knows
     */
    public NewerFormatException(String document, int format, int known) {
        super(document + " has format " + format + ", but the newest known format is " + known);
        this.format = format;
    }

    /**
     * Returns the format of the document.
     *
     * @return the format
     */
    public int format() {
        return format;
    }
}
