import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the cloud. It rents machines of one type up to a capacity for each zone and kind; they are up after a boot time. */
final class Cloud {
    private static final class Host {
        final String zone;
        final boolean spot;
        final int port;
        final long rentedAtMs = Clock.ms();
        Worker worker;

        Host(String zone, boolean spot, int port) {
            this.zone = zone;
            this.spot = spot;
            this.port = port;
        }
    }

    private final Cluster cluster;
    private final String type;
    private final double cpus;
    private final double memoryGb;
    private final long bootMs;
    /** Capacity by zone; machines of that kind that are rented count. */
    private final Map<String, Integer> capacity;
    private final TreeMap<String, Host> hosts = new TreeMap<>();
    private final Map<String, Http.Answer> bookings = new HashMap<>();
    private int lastName = 0;

    Cloud(Cluster cluster, String type, double cpus, double memoryGb, long bootMs, Map<String, Integer> onDemandCapacity) {
        this.cluster = cluster;
        this.type = type;
        this.cpus = cpus;
        this.memoryGb = memoryGb;
        this.bootMs = bootMs;
        this.capacity = onDemandCapacity;
    }

    /** Rents a machine that is up at once, as at the start of a deployment. */
    synchronized void addRunning(String zone) throws Exception {
        Host host = new Host(zone, false, cluster.nextPort());
        String name = nextName();
        hosts.put(name, host);
        boot(name, host);
    }

    synchronized List<Worker> workers() {
        List<Worker> workers = new ArrayList<>();
        for (Host host : hosts.values()) if (host.worker != null) workers.add(host.worker);
        return workers;
    }

    private String nextName() { return String.format("host-%06d", ++lastName); }

    private void boot(String name, Host host) throws Exception {
        host.worker = new Worker(cluster, name, host.port, type, host.zone, host.spot, cpus, memoryGb);
    }

    Http.Answer handle(String method, String path, Map<String, String> query, String body) throws Exception {
        if (path.equals("/catalog")) {
            return new Http.Answer(200, Json.write(Json.map("racks", List.of(Json.map("label", type, "vcpus", cpus,
                "accelerators", 0.0, "memoryGb", memoryGb, "localGb", 80.0, "fetchGbPerS", 0.25, "hourly", 2.02,
                "lowPrice", 0.49, "startupS", bootMs / 1000.0, "halls", new ArrayList<>(capacity.keySet()))))));
        }
        if (path.equals("/hosts/release")) return release(Json.object(body));
        if (path.equals("/hosts") && method.equals("POST")) return rent(Json.object(body));
        if (path.equals("/hosts")) return list(query);
        return new Http.Answer(400, "{}");
    }

    private synchronized Http.Answer rent(Map<String, Object> request) {
        String booking = (String) request.get("booking");
        if (bookings.containsKey(booking)) return bookings.get(booking);
        String zone = (String) request.get("hall");
        boolean spot = Boolean.TRUE.equals(request.get("borrowed"));
        int free = spot ? 0 : capacity.getOrDefault(zone, 0);
        for (Host host : hosts.values()) if (host.zone.equals(zone) && !host.spot) free--;
        int count = Math.min(free, (int) Json.number(request.get("howMany")));
        if (count <= 0) {
            cluster.record("cloud", "no capacity for " + request);
            return new Http.Answer(503, "{\"error\":\"no capacity\"}");
        }
        List<Object> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String name = nextName();
            Host host = new Host(zone, spot, cluster.nextPort());
            hosts.put(name, host);
            names.add(name);
            Http.THREADS.execute(() -> {
                Clock.sleep(bootMs);
                synchronized (this) {
                    try {
                        if (hosts.containsKey(name)) boot(name, host);
                    } catch (Exception e) {
                        cluster.record("cloud", "could not boot " + name + ": " + e);
                    }
                }
            });
        }
        cluster.record("cloud", "rented " + names + " for " + request);
        Http.Answer answer = new Http.Answer(200, Json.write(Json.map("stoves", names)));
        bookings.put(booking, answer);
        return answer;
    }

    private synchronized Http.Answer release(Map<String, Object> request) {
        for (Object name : (List<?>) request.get("stoves")) {
            Host host = hosts.remove((String) name);
            if (host != null && host.worker != null) host.worker.remove();
            cluster.record("cloud", "released " + name);
        }
        return new Http.Answer(200, "{}");
    }

    private synchronized Http.Answer list(Map<String, String> query) {
        String after = query.getOrDefault("since", "");
        List<Object> listed = new ArrayList<>();
        for (Map.Entry<String, Host> entry : hosts.tailMap(after, false).entrySet()) {
            Host host = entry.getValue();
            listed.add(Json.map("ref", entry.getKey(), "endpoint", "127.0.0.1:" + host.port, "rack", type, "hall", host.zone,
                "borrowed", host.spot, "status", host.worker == null ? "booting" : "running",
                "heldS", (Clock.ms() - host.rentedAtMs) / 1000.0));
        }
        return new Http.Answer(200, Json.write(Json.map("stoves", listed, "hasNext", false)));
    }
}
