package org.trefoilpost.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EndpointTest {
    @Test
    void parsesItsOwnText() {
        Endpoint endpoint = Endpoint.of("127.0.0.1", 8080);
        assertEquals(endpoint, Endpoint.parse(endpoint.toString()));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "8080", ":8080", "127.0.0.1:", "127.0.0.1:x", "127.0.0.1:70000", "127.0.0.1:-1"})
    void rejectsInvalidText(String text) {
        assertThrows(IllegalArgumentException.class, () -> Endpoint.parse(text));
    }

    @Test
    void recognizesLoopbackAddresses() {
        assertTrue(Endpoint.of("127.0.0.9", 1).isLoopback());
        assertFalse(Endpoint.of("10.0.0.1", 1).isLoopback());
    }
}
