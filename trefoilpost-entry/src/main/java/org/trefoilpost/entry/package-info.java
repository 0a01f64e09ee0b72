/**
 * The entry instance.
 */
package org.trefoilpost.entry;
