package standins2;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP/1.1 servers and calls on loopback. */
public final class Web {
    /** A response, or status 0 if there was none. */
    public record Answer(int status, String body) {}

    /** Handles a request given by method, path, query and body. */
    public interface Handler {
        Answer handle(String method, String path, Map<String, String> query, String body) throws Exception;
    }

    private static final ExecutorService THREADS = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "web");
        thread.setDaemon(true);
        return thread;
    });

    private static final int FIRST_PORT = 20_000;
    private static final int RANGES = 120;
    private static final int PORTS_PER_RUN = 100;
    private static int givenPorts;

    private Web() {}

    /**
     * Returns a free port below those that the operating system gives to outgoing connections, so that none of these
     * takes it before it is listened on. Runs at the same time mostly have ranges of their own.
     */
    public static synchronized int freePort() throws IOException {
        while (givenPorts < PORTS_PER_RUN) {
            int port = FIRST_PORT + (int) (ProcessHandle.current().pid() % RANGES) * PORTS_PER_RUN + givenPorts++;
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // In use: the next one is tried.
            }
        }
        throw new IOException("no free port");
    }

    public static HttpServer serve(int port, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 64);
        server.setExecutor(THREADS);
        server.createContext("/", exchange -> handle(exchange, handler));
        server.start();
        return server;
    }

    private static void handle(HttpExchange exchange, Handler handler) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        Answer answer;
        try {
            URI uri = exchange.getRequestURI();
            answer = handler.handle(exchange.getRequestMethod(), uri.getPath(), query(uri.getRawQuery()), body);
        } catch (Exception e) {
            e.printStackTrace();
            answer = new Answer(400, "{\"error\":\"malformed\"}");
        }
        if (answer == null) {
            // No answer: the connection ends without one.
            exchange.close();
            return;
        }
        byte[] bytes = answer.body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(answer.status, bytes.length == 0 ? -1 : bytes.length);
        try (OutputStream out = exchange.getResponseBody()) {
            out.write(bytes);
        }
    }

    private static Map<String, String> query(String text) {
        Map<String, String> values = new LinkedHashMap<>();
        if (text == null) return values;
        for (String part : text.split("&")) {
            int equals = part.indexOf('=');
            values.put(part.substring(0, equals), part.substring(equals + 1));
        }
        return values;
    }

    public static HttpClient newClient() {
        return HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofMillis(1500))
            .executor(THREADS)
            .build();
    }

    public static Answer call(HttpClient client, String method, String address, String path, String body, long timeoutMs)
        throws InterruptedException {
        HttpRequest.BodyPublisher publisher =
            body == null ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofString(body);
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
            .timeout(Duration.ofMillis(timeoutMs))
            .method(method, publisher)
            .build();
        try {
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
            return new Answer(response.statusCode(), response.body());
        } catch (IOException e) {
            return new Answer(0, String.valueOf(e.getMessage()));
        }
    }
}
