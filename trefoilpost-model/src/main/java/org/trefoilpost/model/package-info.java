/**
 * Names and addresses that every module shares.
 *
 * <p>All types here are immutable and safe to share between threads.
 */
package org.trefoilpost.model;
