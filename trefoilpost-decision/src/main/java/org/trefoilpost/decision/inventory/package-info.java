/**
 * The assignment of workers to pools, as stored by rack, and the views of pools that planning is based on.
 */
package org.trefoilpost.decision.inventory;
