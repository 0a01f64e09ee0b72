/**
 * The command-line client for operators.
 */
package org.trefoilpost.cli;
