import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** A small HTTP server on a loopback address. A handler that returns null leaves the call without an answer. */
final class Http {
    static final ExecutorService THREADS = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });

    interface Handler {
        Answer handle(Call call) throws Exception;
    }

    record Answer(int status, Object body) {}

    static final class Call {
        String method;
        String path;
        Map<String, String> query = new HashMap<>();
        Map<String, Object> body;
        HttpExchange exchange;

        String header(String name) {
            String value = exchange.getRequestHeaders().getFirst(name);
            return value == null ? "" : value;
        }

        String parameter(String name) {
            return query.getOrDefault(name, "");
        }
    }

    final HttpServer server;

    Http(String address, Handler handler) throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getByName(address), 0), 1024);
        server.setExecutor(THREADS);
        server.createContext("/", exchange -> serve(exchange, handler));
        server.start();
    }

    String address() {
        return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
    }

    private static void serve(HttpExchange exchange, Handler handler) throws IOException {
        Call call = new Call();
        call.exchange = exchange;
        call.method = exchange.getRequestMethod();
        call.path = exchange.getRequestURI().getPath();
        String query = exchange.getRequestURI().getRawQuery();
        if (query != null) {
            for (String part : query.split("&")) {
                int equals = part.indexOf('=');
                call.query.put(part.substring(0, equals), URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        call.body = Json.object(new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8));
        Answer answer;
        try {
            answer = handler.handle(call);
        } catch (Exception e) {
            e.printStackTrace();
            answer = new Answer(500, null);
        }
        if (answer == null) {
            return;
        }
        byte[] bytes = answer.body() == null ? new byte[0] : Json.write(answer.body()).getBytes(StandardCharsets.UTF_8);
        try {
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(answer.status(), bytes.length == 0 ? -1 : bytes.length);
            if (bytes.length > 0) {
                exchange.getResponseBody().write(bytes);
            }
            exchange.close();
        } catch (IOException e) {
            exchange.close();
        }
    }
}
