/**
 * The callers: their requests come in here, and each gets its verdict here.
 */
package org.trefoilpost.entry.caller;
