/**
 * Structured logs: one JSON object on each line, with a stable event name and typed fields.
 */
package org.trefoilpost.entry.log;
