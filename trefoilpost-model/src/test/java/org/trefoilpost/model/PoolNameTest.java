package org.trefoilpost.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LowerChars;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;

class PoolNameTest {
    @Property(tries = 200, seed = "1")
    void roundTripsText(@ForAll @LowerChars @StringLength(min = 1, max = 63) String text) {
        assertEquals(text, PoolName.of(text).text());
    }

    @Test
    void errorNamesTheKindAndTheInvalidText() {
        IllegalArgumentException e = assertThrows(IllegalArgumentException.class, () -> PoolName.of("Pricing!"));
        assertEquals(true, e.getMessage().contains("pool 'Pricing!'"));
    }

    @Test
    void differsFromAnotherKindWithTheSameText() {
        assertNotEquals((Object) PoolName.of("a"), RackName.of("a"));
    }
}
