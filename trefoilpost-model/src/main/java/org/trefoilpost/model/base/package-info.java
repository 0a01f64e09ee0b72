/**
 * Base classes of the value types.
 */
package org.trefoilpost.model.base;
