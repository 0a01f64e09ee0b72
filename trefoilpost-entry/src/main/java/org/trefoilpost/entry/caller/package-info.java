/**
 * The HTTP server for callers: reads and validates their requests, and writes the outcomes as HTTP responses.
 */
package org.trefoilpost.entry.caller;
