import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URLDecoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP servers of the stand-ins and the clients' calls, all on loopback. */
final class Http {
    static {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("sun.net.httpserver.maxIdleConnections", "1000");
    }

    static final ExecutorService THREADS = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });

    record Answer(int status, String body) { }

    interface Handler {
        Answer handle(String method, String path, Map<String, String> query, String body) throws Exception;
    }

    static void serve(int port, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 256);
        server.setExecutor(THREADS);
        server.createContext("/", exchange -> answer(exchange, handler));
        server.start();
    }

    private static void answer(HttpExchange exchange, Handler handler) {
        try (exchange) {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            Map<String, String> query = new LinkedHashMap<>();
            String raw = exchange.getRequestURI().getRawQuery();
            if (raw != null) {
                for (String part : raw.split("&")) {
                    int is = part.indexOf('=');
                    query.put(part.substring(0, is), URLDecoder.decode(part.substring(is + 1), StandardCharsets.UTF_8));
                }
            }
            Answer answer;
            try {
                answer = handler.handle(exchange.getRequestMethod(), exchange.getRequestURI().getPath(), query, body);
            } catch (Exception e) {
                e.printStackTrace();
                answer = new Answer(400, "{\"error\":\"malformed\"}");
            }
            byte[] bytes = answer.body().getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().add("Content-Type", "application/json");
            exchange.sendResponseHeaders(answer.status(), bytes.length == 0 ? -1 : bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (IOException e) {
            // The caller has gone.
        }
    }

    static HttpClient newClient() {
        return HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).executor(THREADS)
            .connectTimeout(Duration.ofMillis(1500)).build();
    }

    /** Calls a server; the status is 0 if no answer came within the time. */
    static Answer call(HttpClient client, String address, String method, String target, String body, int timeoutMs) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + address + target))
            .timeout(Duration.ofMillis(timeoutMs));
        request.method(method,
            body == null ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofString(body));
        try {
            HttpResponse<String> response = client.send(request.build(), HttpResponse.BodyHandlers.ofString());
            return new Answer(response.statusCode(), response.body());
        } catch (IOException e) {
            return new Answer(0, String.valueOf(e.getMessage()));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
