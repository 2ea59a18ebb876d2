package standins2;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** A machine of type petit-8 with its worker by the protocol. */
public final class Worker {
    public static final String TYPE = "petit-8";
    public static final double CPUS = 8.0;
    public static final double FETCH_GB_PER_S = 0.3;
    private static final long MIN_REPORT_GAP_MS = 500;
    private static final long ANSWER_TIMEOUT_MS = 4000;

    private static final class Task {
        final String id;
        final long attempt;
        String status = "fetching";
        String cause;
        long readyAtMs;
        long endsAtMs = Long.MAX_VALUE;
        double cpus;

        Task(String id, long attempt) {
            this.id = id;
            this.attempt = attempt;
        }
    }

    /** A report that was sent to [node] at [sentAtMs]. */
    public record Report(String node, long sentAtMs, long ticket, String body) {}

    public final String name;
    public final String zone;
    private final Cluster cluster;
    private final Ledger ledger;
    private final int port;
    private final Random random;
    private final List<String> nodes;
    private final Map<Long, Task> tasks = new LinkedHashMap<>();
    private final Set<String> images = new HashSet<>();
    private final List<Report> reports = new ArrayList<>();
    private HttpServer server;
    private HttpClient client = Web.newClient();

    /** Rises with each start of the machine; what belongs to an earlier one is dropped. */
    private int life;
    private boolean up;
    private long shift = 1;
    private long ticket;
    private long baton;
    private long batonReportedAtMs = -1_000_000;
    private long renewedAtMs;
    private boolean changed;
    private int nodeIndex;

    /** Called once, after the answer to a direct command under a higher token than any before; may be null. */
    private Runnable onNewToken;

    /** A machine that has been up for a while: its reports continue after the number [ticket]. */
    public Worker(Cluster cluster, String name, String zone, int port, long ticket) {
        this.cluster = cluster;
        this.ledger = cluster.ledger;
        this.name = name;
        this.zone = zone;
        this.port = port;
        this.ticket = ticket;
        this.nodes = cluster.nodes();
        this.random = new Random(name.hashCode());
    }

    public String endpoint() {
        return "127.0.0.1:" + port;
    }

    public void start() throws IOException {
        int startedLife;
        synchronized (this) {
            startedLife = ++life;
            up = true;
            renewedAtMs = Clock.ms();
            server = Web.serve(port, (method, path, query, body) -> serve(startedLife, path, body));
        }
        daemon(() -> reportForever(startedLife));
        daemon(() -> runForever(startedLife));
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task, "worker");
        thread.setDaemon(true);
        thread.start();
    }

    /** Starts the machine; its first report goes to [node]. */
    public void startAt(String node) throws IOException {
        nodeIndex = nodes.indexOf(node);
        start();
    }

    /** Ends the machine and everything on it. */
    public void close(String why) {
        HttpServer ended;
        synchronized (this) {
            if (!up) return;
            up = false;
            life++;
            ended = server;
            killAll(why);
        }
        ended.stop(0);
    }

    /** The machine is back after [downMs]: its worker starts anew, without tasks and with the numbers it starts with. */
    public void restart(long downMs) throws IOException {
        ledger.write("TROUBLE machine " + name + " ends and is back after " + downMs + " ms; its last ticket is " + ticket);
        close("machine ended");
        Clock.sleep(downMs);
        synchronized (this) {
            shift = 1;
            ticket = 0;
            baton = 0;
            batonReportedAtMs = -1_000_000;
            images.clear();
            nodeIndex = 0;
            client = Web.newClient();
        }
        start();
        ledger.write("machine " + name + " is up again");
    }

    /** Has [action] called once, in a thread of its own, after the next answer to a command under a new token. */
    public synchronized void onNewToken(Runnable action) {
        onNewToken = action;
    }

    /** Returns the reports that were sent so far, the oldest first. */
    public synchronized List<Report> reports() {
        return new ArrayList<>(reports);
    }

    private void killAll(String why) {
        for (Task task : tasks.values()) if (!task.status.equals("exited")) ledger.end(task.id, task.attempt, name, why);
        tasks.clear();
    }

    private synchronized boolean isCurrent(int ofLife) {
        return up && life == ofLife;
    }

    // --- Tasks -------------------------------------------------------------------------------------------------------

    private void runForever(int ofLife) {
        while (isCurrent(ofLife)) {
            synchronized (this) {
                if (life != ofLife) return;
                advance();
            }
            Clock.sleep(20);
        }
    }

    private void advance() {
        long now = Clock.ms();
        if (now - renewedAtMs > cluster.leaseMs) {
            ledger.write("lease of " + name + " expired in session " + shift);
            killAll("lease expired");
            shift++;
            renewedAtMs = now;
            changed = true;
        }
        for (Task task : tasks.values()) {
            Cluster.JobSpec job = cluster.job(task.id);
            if (task.status.equals("fetching") && now >= task.readyAtMs) {
                images.add(job.image());
                ledger.begin(task.id, task.attempt, name);
                if (cluster.isCompleted(task.id)) {
                    exit(task, "done");
                } else {
                    task.status = "running";
                    task.endsAtMs = job.runS() == 0 ? Long.MAX_VALUE : now + (long) (job.runS() * 1000);
                    changed = true;
                }
            } else if (task.status.equals("running") && now >= task.endsAtMs) {
                cluster.complete(task.id);
                exit(task, "done");
            }
        }
    }

    private void exit(Task task, String cause) {
        if (!task.status.equals("exited")) ledger.end(task.id, task.attempt, name, cause);
        task.status = "exited";
        task.cause = cause;
        changed = true;
    }

    private void execute(Map<String, Object> order) {
        String verb = (String) order.get("verb");
        String id = (String) order.get("portion");
        long attempt = (Long) order.get("try");
        ledger.write("order  " + verb + " " + id + " try " + attempt + " at " + name);
        Task known = tasks.get(attempt);
        switch (verb) {
            case "start":
                if (known == null) start(new Task(id, attempt));
                break;
            case "halt":
                if (known != null && !known.status.equals("exited")) exit(known, "halted");
                break;
            case "clear":
                if (known != null && known.status.equals("exited")) {
                    tasks.remove(attempt);
                    changed = true;
                }
                break;
            default:
                throw new IllegalArgumentException(verb);
        }
    }

    private void start(Task task) {
        Cluster.JobSpec job = cluster.job(task.id);
        double used = 0;
        boolean isBusy = false;
        for (Task other : tasks.values()) {
            if (other.status.equals("exited")) continue;
            used += other.cpus;
            isBusy |= other.id.equals(task.id);
        }
        tasks.put(task.attempt, task);
        changed = true;
        if (job == null) {
            refuse(task, "unknown");
        } else if (isBusy) {
            refuse(task, "busy");
        } else if (used + job.cpus() > CPUS + 1e-6) {
            refuse(task, "full");
        } else {
            task.cpus = job.cpus();
            long fetchMs = images.contains(job.image()) ? 0 : (long) (job.imageGb() / FETCH_GB_PER_S * 1000);
            task.readyAtMs = Clock.ms() + fetchMs;
        }
    }

    private static void refuse(Task task, String cause) {
        task.status = "exited";
        task.cause = cause;
    }

    // --- Reports and direct commands -----------------------------------------------------------------------------------

    private String newReport() {
        List<Object> portions = new ArrayList<>();
        for (Task task : tasks.values()) {
            Map<String, Object> portion = Json.object("portion", task.id, "try", task.attempt, "status", task.status);
            if (task.cause != null) portion.put("cause", task.cause);
            portions.add(portion);
        }
        return Json.write(Json.object(
            "stove", name, "endpoint", endpoint(), "rack", TYPE, "hall", zone, "borrowed", false, "shift", shift,
            "ticket", ++ticket, "baton", baton, "recallS", null, "portions", portions));
    }

    @SuppressWarnings("unchecked")
    private Web.Answer serve(int ofLife, String path, String body) {
        Runnable action = null;
        Web.Answer answer;
        synchronized (this) {
            if (!up || life != ofLife) return null;
            if (path.equals("/show")) return new Web.Answer(200, newReport());
            if (!path.equals("/orders")) return new Web.Answer(404, "{}");
            Map<String, Object> request = Json.parseObject(body);
            if (request.get("baton") == null || request.get("shift") == null) return new Web.Answer(400, "{}");
            long token = (Long) request.get("baton");
            boolean isValid = token >= baton && (Long) request.get("shift") == shift;
            if (isValid) {
                if (token > baton) {
                    action = onNewToken;
                    onNewToken = null;
                }
                accept(token);
                for (Object order : (List<Object>) request.get("orders")) execute((Map<String, Object>) order);
            }
            answer = new Web.Answer(isValid ? 200 : 409, newReport());
            ledger.write("direct " + answer.status() + " to " + body + " at " + name + ": " + answer.body());
        }
        if (action != null) daemon(action);
        return answer;
    }

    private void accept(long token) {
        if (token <= baton) return;
        baton = token;
        if (Clock.ms() - batonReportedAtMs < cluster.leaseMs / 2) return;
        batonReportedAtMs = Clock.ms();
        changed = true;
    }

    private void reportForever(int ofLife) {
        long nextAtMs = Clock.ms();
        long lastAtMs = Long.MIN_VALUE / 2;
        while (isCurrent(ofLife)) {
            long now = Clock.ms();
            synchronized (this) {
                if (now < nextAtMs && !(changed && now - lastAtMs >= MIN_REPORT_GAP_MS)) {
                    now = -1;
                } else {
                    changed = false;
                }
            }
            if (now < 0) {
                Clock.sleep(10);
                continue;
            }
            lastAtMs = Clock.ms();
            long pauseMs = reportOnce(ofLife);
            double factor = 0.75 + random.nextDouble() / 2;
            nextAtMs = pauseMs >= 0 ? Clock.ms() + pauseMs : lastAtMs + (long) (cluster.reportMs * factor);
        }
    }

    /** Sends a report; returns the pause in ms before the next one, or -1 for the usual one. */
    private long reportOnce(int ofLife) {
        String node;
        String body;
        long sentAtMs;
        long sentShift;
        synchronized (this) {
            if (life != ofLife) return 0;
            node = nodes.get(nodeIndex % nodes.size());
            sentAtMs = Clock.ms();
            sentShift = shift;
            body = newReport();
            reports.add(new Report(node, sentAtMs, ticket, body));
        }
        ledger.write("report to " + node + ": " + body);
        Web.Answer answer;
        try {
            answer = Web.call(client, "POST", cluster.listen(node), "/checkin", body, ANSWER_TIMEOUT_MS);
        } catch (InterruptedException e) {
            return 0;
        }
        synchronized (this) {
            if (life != ofLife || !up) return 0;
            ledger.write("answer " + answer.status() + " from " + node + " to " + name + ": " + answer.body());
            return apply(answer, node, sentAtMs, sentShift);
        }
    }

    @SuppressWarnings("unchecked")
    private long apply(Web.Answer answer, String node, long sentAtMs, long sentShift) {
        if (answer.status() == 200) {
            Map<String, Object> reply = Json.parseObject(answer.body());
            Long token = (Long) reply.get("baton");
            if (token == null || token < baton || sentShift != shift) return -1;
            accept(token);
            renewedAtMs = sentAtMs;
            for (Object order : (List<Object>) reply.get("orders")) execute((Map<String, Object>) order);
            return -1;
        }
        if (answer.status() == 421) {
            int index = nodes.indexOf(Json.parseObject(answer.body()).get("chef"));
            if (index >= 0 && !nodes.get(index).equals(node)) {
                nodeIndex = index;
                return 0;
            }
        }
        nodeIndex++;
        return 1000;
    }
}
