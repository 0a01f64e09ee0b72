/**
 * Which worker belongs to which pool, and the views of pools that decisions are made from.
 */
package org.trefoilpost.decision.inventory;
