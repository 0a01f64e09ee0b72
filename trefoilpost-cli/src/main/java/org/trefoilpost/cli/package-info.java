/**
 * The operators' command line.
 */
package org.trefoilpost.cli;
