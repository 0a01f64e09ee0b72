/**
 * The entry's settings: flags and environment variables, checked together before anything starts.
 */
package org.trefoilpost.entry.settings;
