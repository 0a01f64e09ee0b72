package review;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;

/** HTTP servers of the stand-ins. A call may be answered later, on any thread, or never. */
final class Http {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final ExecutorService THREADS = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "standin");
        thread.setDaemon(true);
        return thread;
    });
    private static final ExecutorService WRITER = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "standin-writer");
        thread.setDaemon(true);
        return thread;
    });

    private Http() {}

    /** Starts a server on a free port and returns its address. */
    static String listen(String ip, Consumer<Call> handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(ip, 0), 200);
        server.setExecutor(THREADS);
        server.createContext("/", exchange -> handler.accept(new Call(exchange)));
        server.start();
        return ip + ":" + server.getAddress().getPort();
    }

    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    static byte[] bytes(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    static JsonNode parse(byte[] bytes) {
        try {
            return MAPPER.readTree(bytes);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A call that has arrived whole. */
    static final class Call {
        final String path;
        final Map<String, String> query = new HashMap<>();
        private final HttpExchange exchange;
        private final byte[] body;

        private Call(HttpExchange exchange) throws IOException {
            this.exchange = exchange;
            this.body = exchange.getRequestBody().readAllBytes();
            this.path = exchange.getRequestURI().getPath();
            String text = exchange.getRequestURI().getRawQuery();
            if (text != null) {
                for (String part : text.split("&")) {
                    int equals = part.indexOf('=');
                    if (equals > 0) {
                        query.put(
                                part.substring(0, equals),
                                URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
                    }
                }
            }
        }

        String header(String name) {
            return exchange.getRequestHeaders().getFirst(name);
        }

        JsonNode json() {
            return body.length == 0 ? object() : parse(body);
        }

        /** Answers the call; does not wait for the client to read the answer. */
        void answer(int status, JsonNode node) {
            byte[] answer = node == null ? new byte[0] : bytes(node);
            WRITER.execute(() -> {
                try {
                    exchange.getResponseHeaders().set("Content-Type", "application/json");
                    exchange.sendResponseHeaders(status, answer.length == 0 ? -1 : answer.length);
                    if (answer.length > 0) {
                        exchange.getResponseBody().write(answer);
                    }
                } catch (IOException e) {
                    // The client has left.
                } finally {
                    exchange.close();
                }
            });
        }
    }
}
