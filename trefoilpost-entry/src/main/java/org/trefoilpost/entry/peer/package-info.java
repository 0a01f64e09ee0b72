/**
 * The other entries: frames of MessagePack over TCP, each prefixed by its length.
 *
 * <p>An entry connects to each of its peers. The accepting side sends a challenge first, and the connecting side proves
 * that it knows the shared secret before any other message is read.
 */
package org.trefoilpost.entry.peer;
