/**
 * Names and network addresses that all modules use.
 *
 * <p>All types here are immutable and safe to share between threads.
 */
package org.trefoilpost.model;
