/**
 * Messages between entries: MessagePack frames over TCP, each with a length prefix.
 *
 * <p>An entry connects to each of its peers. The accepting side sends a challenge first, and the connecting side proves
 * that it knows the shared secret before the accepting side handles any other message.
 */
package org.trefoilpost.entry.peer;
