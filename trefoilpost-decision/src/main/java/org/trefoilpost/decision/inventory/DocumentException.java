package org.trefoilpost.decision.inventory;

import java.util.Objects;

/**
 * Thrown when a document of the key-value service can't be read.
 */
public final class DocumentException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final DocumentFault fault;

    /**
     * Constructs the exception.
     *
     * @param fault  why the document can't be read, not null
     * @param message  the document, the field and what is wrong with it, not null
     */
    public DocumentException(DocumentFault fault, String message) {
        super(message);
        this.fault = Objects.requireNonNull(fault, "fault");
    }

    /**
     * Returns why the document can't be read.
     *
     * @return the fault, not null
     */
    public DocumentFault fault() {
        return fault;
    }
}
