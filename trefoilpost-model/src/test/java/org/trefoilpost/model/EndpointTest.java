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
    @ValueSource(
            strings = {"127.0.0.1:0", "255.255.255.255:65535", "::1:80", "[::1]:80", "[fe80::a:1]:9", "::ffff:1.2.3.4:5"
            })
    void readsIpAddresses(String text) {
        assertEquals(text, Endpoint.parse(text).toString());
    }

    /** Guards against host names that are taken for addresses, and fail each call to them. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "no-such-host:80",
                "localhost:80",
                "10.0.0:80",
                "10.0.0.256:80",
                "10.0.0.01:80",
                "10.0.0.1.:80",
                " 10.0.0.1:80",
                "10.0.0.1\n:80",
                "[]:80",
                "[::1:80",
                "::1%lo:80",
                "1::2::3:80",
                "abcd::efgh:80",
                "10.0.0.1:+80",
                "10.0.0.1:8\u0660",
                "10.0.0.1:99999999999"
            })
    void rejectsWhatIsNoIpAddressAndPort(String text) {
        assertThrows(IllegalArgumentException.class, () -> Endpoint.parse(text));
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
