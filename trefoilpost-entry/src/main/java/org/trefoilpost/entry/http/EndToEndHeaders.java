package org.trefoilpost.entry.http;

import io.servicetalk.http.api.HttpHeaders;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Separates headers that go end to end from those of one connection.
 */
public final class EndToEndHeaders {
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect",
            "host");

    private EndToEndHeaders() {}

    /**
     * Returns the headers that go end to end, without those that the connection names and without those of a set.
     *
     * @param headers  the headers of a message, not null
     * @param excluded  the lower-case names of further headers to leave out, not null
     * @return the headers in their order, not null
     */
    public static List<Map.Entry<String, String>> of(HttpHeaders headers, Set<String> excluded) {
        Set<String> perConnection = connectionNames(headers);
        List<Map.Entry<String, String>> kept = new ArrayList<>();
        for (Map.Entry<CharSequence, CharSequence> header : headers) {
            String name = header.getKey().toString().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(name) && !excluded.contains(name) && !perConnection.contains(name)) {
                kept.add(Map.entry(header.getKey().toString(), header.getValue().toString()));
            }
        }
        return kept;
    }

    private static Set<String> connectionNames(HttpHeaders headers) {
        Set<String> names = new HashSet<>();
        for (CharSequence value : headers.values("connection")) {
            for (String name : value.toString().split(",")) {
                names.add(name.trim().toLowerCase(Locale.ROOT));
            }
        }
        return names;
    }
}
