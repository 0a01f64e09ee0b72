/**
 * Decisions on how an entry reaches the platform's store.
 */
package org.trefoilpost.decision.store;
