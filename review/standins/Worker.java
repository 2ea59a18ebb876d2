import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Stand-in of a worker: reports to one controller at a time, keeps its lease, runs tasks and takes direct commands. */
final class Worker {
    private static final class Task {
        final String portion;
        final long attempt;
        final JobSpec spec;
        String status;
        String cause;
        long readyAtMs;
        long endsAtMs = Long.MAX_VALUE;

        Task(String portion, long attempt, JobSpec spec) {
            this.portion = portion;
            this.attempt = attempt;
            this.spec = spec;
        }

        boolean isExited() { return status.equals("exited"); }
    }

    private static final double MEMORY_AND_CPU_TOLERANCE = 1e-6;

    final String name;
    private final String endpoint;
    private final String type;
    private final String zone;
    private final boolean spot;
    private final double cpus;
    private final double memoryGb;
    private final Cluster cluster;
    private final Random random = new Random();
    private final HttpClient client = Http.newClient();
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Set<String> images = ConcurrentHashMap.newKeySet();
    private long shift = 1;
    private long ticket = 0;
    private long baton = 0;
    private long leaseFromMs = Clock.ms();
    private boolean hasChanged = true;
    private long tokenReportedAtMs = Long.MIN_VALUE / 2;
    private volatile boolean isGone = false;
    /** The bodies of the direct commands that were executed. */
    private final List<String> executedRequests = new ArrayList<>();

    Worker(Cluster cluster, String name, int port, String type, String zone, boolean spot, double cpus, double memoryGb) throws Exception {
        this.cluster = cluster;
        this.name = name;
        this.endpoint = "127.0.0.1:" + port;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.cpus = cpus;
        this.memoryGb = memoryGb;
        Http.serve(port, (method, path, query, body) -> handle(path, body));
        Http.THREADS.execute(this::reportForever);
        Http.THREADS.execute(() -> {
            while (!isGone) {
                Clock.sleep(20);
                advance();
            }
        });
    }

    String zone() { return zone; }

    synchronized void remove() {
        isGone = true;
        for (Task task : tasks.values()) end(task, "gone");
        tasks.clear();
    }

    /** Returns the processors that no task holds, fetching ones included. */
    synchronized double freeCpus() {
        double free = cpus;
        for (Task task : tasks.values()) if (!task.isExited()) free -= task.spec.cpus();
        return free;
    }

    synchronized double freeMemoryGb() {
        double free = memoryGb;
        for (Task task : tasks.values()) if (!task.isExited()) free -= task.spec.memoryGb();
        return free;
    }

    /** Whether the last report was answered within the lease and no start was refused: the machine is in order. */
    synchronized boolean isAnswered() { return Clock.ms() - leaseFromMs < cluster.leaseMs; }

    private synchronized void advance() {
        long now = Clock.ms();
        if (now - leaseFromMs > cluster.leaseMs) {
            for (Task task : tasks.values()) end(task, "lease");
            tasks.clear();
            shift++;
            ticket = 0;
            leaseFromMs = now;
            hasChanged = true;
        }
        for (Task task : tasks.values()) {
            if (task.status.equals("fetching") && now >= task.readyAtMs) begin(task, now);
            if (task.status.equals("running") && now >= task.endsAtMs) {
                String cause = task.spec.fails() ? "error" : "done";
                if (cause.equals("done")) cluster.results.add(task.portion);
                exit(task, cause);
            }
        }
    }

    private void begin(Task task, long now) {
        images.add(task.spec.image());
        task.status = "running";
        hasChanged = true;
        cluster.onTaskOn(task.portion, task.attempt, name);
        if (task.spec.fails()) task.endsAtMs = now + 50;
        else if (cluster.results.contains(task.portion)) task.endsAtMs = now;
        else if (!task.spec.isService()) task.endsAtMs = now + task.spec.runMs();
    }

    private void end(Task task, String how) {
        if (task.status.equals("running") || task.status.equals("saving")) cluster.onTaskOff(task.portion, task.attempt, name, how);
    }

    private void exit(Task task, String cause) {
        end(task, cause);
        task.status = "exited";
        task.cause = cause;
        hasChanged = true;
    }

    private static String key(Object portion, Object attempt) { return portion + "#" + attempt; }

    private void execute(List<?> orders) {
        advance();
        for (Object item : orders) {
            Map<?, ?> order = (Map<?, ?>) item;
            String portion = (String) order.get("portion");
            long attempt = Json.number(order.get("try"));
            Task task = tasks.get(key(portion, attempt));
            switch ((String) order.get("verb")) {
                case "start" -> {
                    if (task == null) start(portion, attempt);
                }
                case "halt" -> {
                    if (task != null && !task.isExited()) exit(task, "halted");
                }
                case "clear" -> {
                    if (task != null && task.isExited()) {
                        tasks.remove(key(portion, attempt));
                        hasChanged = true;
                    }
                }
                default -> throw new IllegalArgumentException("unknown command");
            }
        }
    }

    private void start(String portion, long attempt) {
        JobSpec spec = cluster.submitted.get(portion.substring(0, portion.indexOf('/')));
        String refusal = null;
        if (spec == null) {
            refusal = "unknown";
            spec = JobSpec.NONE;
        } else if (tasks.values().stream().anyMatch(it -> it.portion.equals(portion) && !it.isExited())) {
            refusal = "busy";
        } else if (spec.cpus() > freeCpus() + MEMORY_AND_CPU_TOLERANCE || spec.memoryGb() > freeMemoryGb() + MEMORY_AND_CPU_TOLERANCE) {
            refusal = "full";
        }
        Task task = new Task(portion, attempt, spec);
        tasks.put(key(portion, attempt), task);
        task.status = "fetching";
        hasChanged = true;
        if (refusal != null) {
            exit(task, refusal);
            return;
        }
        task.readyAtMs = Clock.ms() + (images.contains(spec.image()) ? 0 : cluster.fetchMs);
        advance();
    }

    private Map<String, Object> report() {
        List<Object> portions = new ArrayList<>();
        for (Task task : tasks.values()) {
            Map<String, Object> item = Json.map("portion", task.portion, "try", task.attempt, "status", task.status);
            if (task.cause != null) item.put("cause", task.cause);
            portions.add(item);
        }
        return Json.map("stove", name, "endpoint", endpoint, "rack", type, "hall", zone, "borrowed", spot,
            "shift", shift, "ticket", ++ticket, "baton", baton, "recallS", null, "portions", portions);
    }

    private void see(long token) {
        if (token <= baton) return;
        baton = token;
        if (Clock.ms() - tokenReportedAtMs < cluster.leaseMs / 2) return;
        tokenReportedAtMs = Clock.ms();
        hasChanged = true;
    }

    private synchronized Http.Answer handle(String path, String body) {
        if (isGone) return new Http.Answer(503, "{}");
        advance();
        if (path.equals("/show")) return new Http.Answer(200, Json.write(report()));
        if (!path.equals("/orders")) return new Http.Answer(400, "{}");
        Map<String, Object> request = Json.object(body);
        if (request.get("baton") == null || request.get("shift") == null) return new Http.Answer(400, "{}");
        long token = Json.number(request.get("baton"));
        if (token < baton || Json.number(request.get("shift")) != shift) return new Http.Answer(409, Json.write(report()));
        see(token);
        executedRequests.add(body);
        Object orders = request.get("orders");
        execute(orders == null ? List.of() : (List<?>) orders);
        return new Http.Answer(200, Json.write(report()));
    }

    /** Delivers a direct command once more that was executed and started this task; returns whether there was one. */
    boolean repeatStart(String portion) {
        String repeated;
        synchronized (this) {
            repeated = executedRequests.stream()
                .filter(body -> ((List<?>) Json.object(body).get("orders")).stream().anyMatch(order ->
                    ((Map<?, ?>) order).get("verb").equals("start") && ((Map<?, ?>) order).get("portion").equals(portion)))
                .findFirst().orElse(null);
        }
        if (repeated == null) return false;
        Http.Answer answer = handle("/orders", repeated);
        cluster.record("worker " + name, "a repeat of an executed request arrives, " + repeated + " -> " + answer.status() + " (the answer reaches nobody)");
        return true;
    }

    private void reportForever() {
        int node = random.nextInt(cluster.nodeCount());
        long notBeforeMs = 0;
        while (!isGone) {
            long dueMs = Clock.ms() + (long) (cluster.reportMs * (0.75 + 0.5 * random.nextDouble()));
            while (!isGone && Clock.ms() < dueMs && !(hasChangedNow() && Clock.ms() >= notBeforeMs)) Clock.sleep(10);
            node = reportTo(node);
            notBeforeMs = Clock.ms() + 500;
        }
    }

    private synchronized boolean hasChangedNow() { return hasChanged; }

    /** Reports until a controller answers with 200; returns that controller. */
    private int reportTo(int first) {
        int node = first;
        while (!isGone) {
            String body;
            long sentAtMs;
            long sentShift;
            synchronized (this) {
                advance();
                hasChanged = false;
                body = Json.write(report());
                sentAtMs = Clock.ms();
                sentShift = shift;
            }
            Http.Answer answer = Http.call(client, cluster.address(node), "POST", "/checkin", body, 4000);
            if (isGone) return node;
            if (answer.status() == 200) {
                accept(answer, sentAtMs, sentShift);
                return node;
            }
            int next = -1;
            if (answer.status() == 421) next = cluster.nodeNamed(String.valueOf(Json.object(answer.body()).get("chef")));
            if (next >= 0 && next != node) {
                Clock.sleep(random.nextInt(500));
                node = next;
            } else {
                Clock.sleep(1000);
                node = (node + 1) % cluster.nodeCount();
            }
        }
        return node;
    }

    private synchronized void accept(Http.Answer answer, long sentAtMs, long sentShift) {
        Map<String, Object> reply = Json.object(answer.body());
        advance();
        if (sentShift != shift || reply.get("baton") == null || Json.number(reply.get("baton")) < baton) return;
        see(Json.number(reply.get("baton")));
        leaseFromMs = Math.max(leaseFromMs, sentAtMs);
        Object orders = reply.get("orders");
        if (orders != null) execute((List<?>) orders);
    }
}
