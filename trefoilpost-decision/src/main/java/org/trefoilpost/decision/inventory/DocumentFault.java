package org.trefoilpost.decision.inventory;

/**
 * Why a document of the key-value service can't be read.
 */
public enum DocumentFault {
    /** The document has a newer format than this version reads; it must be left unchanged. */
    NEWER_FORMAT,
    /** The document is not JSON, lacks a field, or has a field with an invalid value. */
    DAMAGED
}
