import java.io.File;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.http.HttpClient;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Three controllers as processes of the deploy file, and the stand-ins around them. Everything is recorded. */
final class Cluster implements AutoCloseable {
    record Team(String name, double cpus, double cpusMax) { }

    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    final Map<String, JobSpec> submitted = new ConcurrentHashMap<>();
    final Set<String> results = ConcurrentHashMap.newKeySet();
    final long reportMs;
    final long leaseMs;
    final long fetchMs;
    final StateService state;
    private Cloud cloud;
    private final double cancelS;
    private final double stateRps;
    private final double writeRps;
    private final double valueKb;
    private final int txnOps;
    private final PrintWriter out;
    private final Path folder;
    private final Path root = Path.of(System.getenv("ROOT"));
    private final List<String> zones;
    private final List<Team> teams;
    private final Set<Integer> usedPorts = new LinkedHashSet<>();
    private final List<String> names = List.of("stall-0", "stall-1", "stall-2");
    private final List<Integer> listenPorts = new ArrayList<>();
    private final List<Integer> meshPorts = new ArrayList<>();
    private final List<Process> processes = new ArrayList<>();
    private final HttpClient client = Http.newClient();
    /** The machine of each task that is on one. */
    private final Map<String, String> machineOfTask = new HashMap<>();
    private final Map<String, Integer> startsOfJob = new HashMap<>();
    final List<String> violations = new ArrayList<>();

    Cluster(Path caseFolder, List<String> zones, List<Team> teams, double reportS, double leaseS, double cancelS, double fetchS,
            double stateRps, double writeRps, double valueKb, int txnOps) throws Exception {
        this.zones = zones;
        this.teams = teams;
        this.reportMs = (long) (reportS * 1000);
        this.leaseMs = (long) (leaseS * 1000);
        this.fetchMs = (long) (fetchS * 1000);
        this.cancelS = cancelS;
        this.stateRps = stateRps;
        this.writeRps = writeRps;
        this.valueKb = valueKb;
        this.txnOps = txnOps;
        folder = Files.createTempDirectory("ledgearch-review");
        out = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
        state = new StateService(stateRps, writeRps);
        Thread.setDefaultUncaughtExceptionHandler((thread, failure) -> {
            failure.printStackTrace();
            finish(2, "the case could not run: " + failure);
        });
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
        record("case", hasTrouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
    }

    synchronized void record(String who, String what) { out.printf("%8.3f %s: %s%n", Clock.ms() / 1000.0, who, what); }

    int nodeCount() { return names.size(); }

    int nodeNamed(String name) { return names.indexOf(name); }

    String nameOf(int node) { return names.get(node); }

    String address(int node) { return "127.0.0.1:" + listenPorts.get(node); }

    /** Returns a port on which nothing listens and which was not returned before. */
    synchronized int nextPort() {
        while (true) {
            // Below the ports of outgoing connections and of the project's own tests; seldom those of another case.
            int port = 5_000 + (int) (ProcessHandle.current().pid() % 7) * 1_000 + (int) (Math.random() * 1_000);
            if (!usedPorts.add(port)) continue;
            try (ServerSocket server = new ServerSocket()) {
                server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
                return port;
            } catch (java.io.IOException e) {
                // In use.
            }
        }
    }

    void start(Cloud theCloud) throws Exception {
        cloud = theCloud;
        int statePort = nextPort();
        int cloudPort = nextPort();
        Http.serve(statePort, state::handle);
        Http.serve(cloudPort, cloud::handle);
        for (int node = 0; node < nodeCount(); node++) {
            listenPorts.add(nextPort());
            meshPorts.add(nextPort());
        }
        for (int node = 0; node < nodeCount(); node++) {
            List<Object> members = new ArrayList<>();
            for (int other = 0; other < nodeCount(); other++) {
                if (other == node) continue;
                members.add(Json.map("node", nameOf(other), "area", zoneOf(other), "addr", "127.0.0.1:" + meshPorts.get(other)));
            }
            Files.writeString(settings(node), Json.write(Json.map("node", nameOf(node), "area", zoneOf(node), "listen", address(node),
                "mesh_addr", "127.0.0.1:" + meshPorts.get(node), "members", members,
                "outside", Json.map("cloud", "127.0.0.1:" + cloudPort, "state", "127.0.0.1:" + statePort),
                "deployment", deployment())));
            processes.add(null);
        }
        for (int node = 0; node < nodeCount(); node++) startNode(node);
    }

    private String zoneOf(int node) { return zones.get(node % zones.size()); }

    private Path settings(int node) { return folder.resolve(nameOf(node) + ".json"); }

    private Map<String, Object> deployment() {
        List<Object> teamList = new ArrayList<>();
        for (Team team : teams) {
            teamList.add(Json.map("name", team.name(), "cpus", team.cpus(), "cpus_max", team.cpusMax(), "gpus", 0.0, "gpus_max", 0.0));
        }
        return Json.map("initial_size", nodeCount(), "zones", zones, "teams", teamList, "objectives", objectives(),
            "workers", Json.map("report_s", reportMs / 1000.0, "lease_s", leaseMs / 1000.0, "gang_wait_s", 35.0, "gang_peer_s", 6.0, "cancel_s", cancelS),
            "state", Json.map("rps", stateRps, "write_rps", writeRps, "value_kb", valueKb, "txn_ops", txnOps),
            "cloud", Json.map("rps", 5.0, "list_lag_s", 3.0),
            "quota", Json.map("cpu", 0.425, "memory_mb", 325.0, "fd_limit", 3000), "clock_off_ms", 5.0);
    }

    /** The aims of the brief that a controller's decisions depend on. */
    private static List<Object> objectives() {
        return List.of(
            Json.map("kind", "finished", "class", "stock-count", "within_s", 120.0, "share", 0.85),
            Json.map("kind", "finished", "class", "stock-count", "within_s", 300.0, "share", 0.975),
            Json.map("kind", "wait", "class", "storefront", "within_s", 1.0, "share", 0.96),
            Json.map("kind", "deadline", "class", "packing-slips", "share", 0.98, "times", 1.0),
            Json.map("kind", "deadline", "class", "packing-slips", "share", 0.98, "times", 1.5),
            Json.map("kind", "wait", "class", "packing-slips", "within_s", 1.0, "share", 0.9),
            Json.map("kind", "guarantee", "within_s", 5.0, "share", 0.98));
    }

    void startNode(int node) throws Exception {
        String line = Files.readAllLines(root.resolve("deploy/service.toml")).stream().filter(it -> it.startsWith("run = \"")).findFirst().orElseThrow();
        List<String> command = new ArrayList<>(List.of(line.substring(7, line.length() - 1).split(" ")));
        command.add(settings(node).toString());
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile()).redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log(node).toFile()));
        processes.set(node, builder.start());
        record("test", "started " + nameOf(node));
    }

    private Path log(int node) { return folder.resolve(nameOf(node) + ".log"); }

    void kill(int node) throws Exception {
        processes.get(node).destroyForcibly().waitFor();
        record("test", "killed " + nameOf(node));
    }

    boolean isUp(int node) { return Http.call(client, address(node), "GET", "/up", null, 1000).status() == 200; }

    /** Returns the controller named in the leadership record, or -1. */
    int leader() {
        Object record = state.valueOf("w/g/0");
        return record == null ? -1 : nodeNamed(String.valueOf(((Map<?, ?>) record).get("node")));
    }

    Http.Answer ask(int node, String method, String target, String body, int timeoutMs) {
        Http.Answer answer = Http.call(client, address(node), method, target, body, timeoutMs);
        String sent = body == null || body.length() < 700 ? body : body.substring(0, 80) + "... (" + body.length() + " bytes)";
        record("user", method + " " + target + (body == null ? "" : " " + sent) + " at " + nameOf(node) + " -> " + answer.status() + " " + answer.body());
        return answer;
    }

    /** Submits a job as a user does, at the controllers in turn, for up to 60 s; returns whether it was accepted. */
    boolean submit(JobSpec job, int firstNode) {
        submitted.put(job.id(), job);
        long untilMs = Clock.ms() + 60_000;
        for (int node = firstNode; Clock.ms() < untilMs; node = (node + 1) % nodeCount()) {
            Http.Answer answer = ask(node, "POST", "/work", job.body(), 5000);
            if (answer.status() == 200 || answer.status() == 201) return true;
            if (answer.status() == 400 || answer.status() == 422) return false;
            Clock.sleep(1000);
        }
        return false;
    }

    /** Returns the state of a job as told by a controller, or null if the question is not answered with 200. */
    String poll(String job, int node) {
        Http.Answer answer = ask(node, "GET", "/work/" + job, null, 2000);
        return answer.status() == 200 ? (String) Json.object(answer.body()).get("status") : null;
    }

    /** Cancels a job; repeats the request until it is answered. Returns the state told. */
    String cancel(String job, int firstNode) {
        for (int node = firstNode; ; node = (node + 1) % nodeCount()) {
            Http.Answer answer = ask(node, "POST", "/work/" + job + "/withdraw", "", 5000);
            if (answer.status() == 200) return (String) Json.object(answer.body()).get("status");
            Clock.sleep(1000);
        }
    }

    synchronized void onTaskOn(String task, long attempt, String machine) {
        record("worker " + machine, "runs " + task + " attempt " + attempt);
        startsOfJob.merge(task.substring(0, task.indexOf('/')), 1, Integer::sum);
        String other = machineOfTask.put(task, machine);
        if (other != null && !other.equals(machine)) violations.add("ran_twice: " + task + " on " + machine + " and " + other);
    }

    synchronized void onTaskOff(String task, long attempt, String machine, String how) {
        record("worker " + machine, "ended " + task + " attempt " + attempt + ": " + how);
        machineOfTask.remove(task, machine);
    }

    synchronized int starts(String job) { return startsOfJob.getOrDefault(job, 0); }

    synchronized long runningTasks(String job) {
        return machineOfTask.keySet().stream().filter(it -> it.startsWith(job + "/")).count();
    }

    /** Returns the machine on which a task is, or null. */
    synchronized String machineOf(String task) { return machineOfTask.get(task); }

    interface Condition {
        boolean holds() throws Exception;
    }

    /** Waits until the condition holds; returns whether it did within the time. */
    boolean await(String what, long timeoutMs, Condition condition) throws Exception {
        long untilMs = Clock.ms() + timeoutMs;
        while (Clock.ms() < untilMs) {
            if (condition.holds()) {
                record("test", "holds: " + what);
                return true;
            }
            Clock.sleep(50);
        }
        record("test", "not within " + timeoutMs + " ms: " + what);
        return false;
    }

    /** Ends the case as one that could not run unless the condition holds within the time. */
    void require(String what, long timeoutMs, Condition condition) throws Exception {
        if (!await(what, timeoutMs, condition)) finish(2, "the case could not run: " + what);
    }

    void finish(int code, String verdict) {
        record("result", verdict + " (exit " + code + ")");
        System.out.println(verdict);
        killAll();
        for (int node = 0; node < processes.size(); node++) {
            try {
                for (String line : Files.readAllLines(log(node))) record("log of " + nameOf(node), line);
            } catch (java.io.IOException e) {
                record("log of " + nameOf(node), "none");
            }
        }
        out.flush();
        Runtime.getRuntime().halt(cleaned(code));
    }

    private int cleaned(int code) {
        File[] files = folder.toFile().listFiles();
        if (files != null) for (File file : files) file.delete();
        folder.toFile().delete();
        return code;
    }

    private void killAll() { for (Process process : processes) if (process != null) process.destroyForcibly(); }

    @Override public void close() { killAll(); }
}
