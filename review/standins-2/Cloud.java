package standins2;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The cloud by the protocol. It has the machines that stand at the start and rents no others. */
public final class Cloud {
    private static final long LATENCY_MS = 80;

    private final Ledger ledger;
    private final Map<String, Worker> machines = new TreeMap<>();
    private final long startedAtMs = Clock.ms();
    private HttpServer server;
    private volatile boolean down;

    public Cloud(Ledger ledger) {
        this.ledger = ledger;
    }

    public void open(int port) throws IOException {
        server = Web.serve(port, this::handle);
    }

    public synchronized void add(Worker worker) {
        machines.put(worker.name, worker);
    }

    /** Begins or ends an outage of the interface. */
    public void setDown(boolean isDown) {
        down = isDown;
        ledger.write("TROUBLE the cloud's interface is " + (isDown ? "down" : "up again"));
    }

    public synchronized boolean has(String machine) {
        return machines.containsKey(machine);
    }

    public void close() {
        if (server != null) server.stop(0);
    }

    @SuppressWarnings("unchecked")
    private Web.Answer handle(String method, String path, Map<String, String> query, String body) {
        Clock.sleep(LATENCY_MS);
        if (down) {
            if (!method.equals("GET")) ledger.write("cloud  503 to " + path + " " + body);
            return new Web.Answer(503, "{\"error\":\"trouble\"}");
        }
        if (path.equals("/catalog")) return new Web.Answer(200, catalog());
        if (path.equals("/hosts/release")) {
            for (Object name : (List<Object>) Json.parseObject(body).get("stoves")) release((String) name);
            ledger.write("cloud  200 to " + path + " " + body);
            return new Web.Answer(200, "{}");
        }
        if (path.equals("/hosts") && method.equals("POST")) {
            return new Web.Answer(503, "{\"error\":\"no capacity\"}");
        }
        if (path.equals("/hosts")) return new Web.Answer(200, list(query.getOrDefault("since", "")));
        return new Web.Answer(400, "{}");
    }

    private void release(String name) {
        Worker worker;
        synchronized (this) {
            worker = machines.remove(name);
        }
        if (worker != null) worker.close("released");
    }

    private synchronized String list(String since) {
        List<Object> listed = new ArrayList<>();
        for (Worker worker : machines.values()) {
            if (worker.name.compareTo(since) <= 0) continue;
            listed.add(Json.object(
                "ref", worker.name, "endpoint", worker.endpoint(), "rack", Worker.TYPE, "hall", worker.zone,
                "borrowed", false, "status", "running", "heldS", 3600.0 + (Clock.ms() - startedAtMs) / 1000.0));
        }
        return Json.write(Json.object("stoves", listed, "hasNext", false));
    }

    private static String catalog() {
        return Json.write(Json.object("racks", List.of(Json.object(
            "label", Worker.TYPE, "vcpus", Worker.CPUS, "accelerators", 0.0, "memoryGb", 16.0, "localGb", 35.0,
            "fetchGbPerS", Worker.FETCH_GB_PER_S, "hourly", 0.5, "lowPrice", 0.2, "startupS", 15.0,
            "halls", Cluster.ZONES))));
    }
}
