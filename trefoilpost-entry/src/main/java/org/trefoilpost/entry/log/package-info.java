/**
 * Structured logs: one JSON object a line, each with a stable event name and typed fields.
 */
package org.trefoilpost.entry.log;
