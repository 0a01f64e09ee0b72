/**
 * Calls to the platform's store that entries carry out for each other while the store does not serve all of them.
 */
package org.trefoilpost.entry.relay;
