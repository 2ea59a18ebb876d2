package standins2;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** The state service by the protocol, with one address for each controller so that single ones can be slowed down. */
public final class StateService {
    private static final int KEPT_CHANGES = 10_000;

    private static final class Entry {
        Object value;
        long stamp;
        Long permit;
    }

    private static final class Lease {
        long lifeMs;
        long renewedAtMs;
    }

    private final Map<String, Entry> keys = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final List<Map<String, Object>> changes = new ArrayList<>();
    private final List<HttpServer> servers = new ArrayList<>();
    private final Map<String, Long> txnDelayMs = new ConcurrentHashMap<>();
    private long edition;
    private long lastPermit;
    private volatile boolean closed;

    /** Opens the address of [node] on [port]. */
    public void open(String node, int port) throws IOException {
        servers.add(Web.serve(port, (method, path, query, body) -> handle(node, method, path, query, body)));
    }

    public void start() {
        Thread thread = new Thread(this::expireLeases, "leases");
        thread.setDaemon(true);
        thread.start();
    }

    public void close() {
        closed = true;
        servers.forEach(server -> server.stop(0));
    }

    /** Makes each transaction of [node] take [delayMs] longer; 0 ends this. */
    public void delayTransactions(String node, long delayMs) {
        txnDelayMs.put(node, delayMs);
    }

    /** Writes [value] under [key], as a controller did. */
    public synchronized void write(String key, Object value) {
        transact(Json.object("then", List.of(Json.object("put", key, "v", value))));
    }

    /** Returns the value stored under [key], or null. */
    public synchronized Object value(String key) {
        Entry entry = keys.get(key);
        return entry == null ? null : entry.value;
    }

    /** Returns the name of the node in the leadership record, or null. */
    @SuppressWarnings("unchecked")
    public synchronized String leader() {
        Object value = value("w/g/0");
        return value == null ? null : (String) ((Map<String, Object>) value).get("node");
    }

    /** Returns whether a machine record names [machine]. */
    public synchronized boolean hasMachine(String machine) {
        String quoted = "\"" + machine + "\"";
        return keys.entrySet().stream()
            .anyMatch(entry -> entry.getKey().startsWith("m/") && Json.write(entry.getValue().value).contains(quoted));
    }

    public synchronized long leaderStamp() {
        Entry entry = keys.get("w/g/0");
        return entry == null ? 0 : entry.stamp;
    }

    private void expireLeases() {
        while (!closed) {
            synchronized (this) {
                long now = Clock.ms();
                Set<Long> ended = new HashSet<>();
                leases.forEach((id, lease) -> {
                    if (now - lease.renewedAtMs > lease.lifeMs) ended.add(id);
                });
                ended.forEach(this::end);
            }
            Clock.sleep(20);
        }
    }

    private void end(long permit) {
        leases.remove(permit);
        List<String> attached = new ArrayList<>();
        keys.forEach((key, entry) -> {
            if (entry.permit != null && entry.permit == permit) attached.add(key);
        });
        if (attached.isEmpty()) return;
        edition++;
        for (String key : attached) remove(key);
        notifyAll();
    }

    private void remove(String key) {
        if (keys.remove(key) != null) addChange(Json.object("remove", key, "stamp", edition));
    }

    private void addChange(Map<String, Object> change) {
        changes.add(change);
        if (changes.size() > KEPT_CHANGES) changes.remove(0);
    }

    private Web.Answer handle(String node, String method, String path, Map<String, String> query, String body)
        throws Exception {
        if (path.equals("/txn")) {
            Long delayMs = txnDelayMs.get(node);
            if (delayMs != null && delayMs > 0) Thread.sleep(delayMs);
            return transact(Json.parseObject(body));
        }
        if (path.equals("/changes")) return watch(query);
        synchronized (this) {
            if (path.equals("/keys")) return list(query);
            if (path.startsWith("/keys/")) return get(path.substring("/keys/".length()));
            if (path.equals("/leases")) {
                Lease lease = new Lease();
                lease.lifeMs = ((Number) Json.parseObject(body).get("lifeMs")).longValue();
                lease.renewedAtMs = Clock.ms();
                leases.put(++lastPermit, lease);
                return ok(Json.object("permit", lastPermit));
            }
            if (path.startsWith("/leases/")) {
                long permit = Long.parseLong(path.split("/")[2]);
                Lease lease = leases.get(permit);
                if (lease == null) return new Web.Answer(404, "{}");
                if (method.equals("DELETE")) end(permit);
                else lease.renewedAtMs = Clock.ms();
                return ok(Json.object("permit", permit));
            }
        }
        return new Web.Answer(400, "{}");
    }

    private static Web.Answer ok(Object body) {
        return new Web.Answer(200, Json.write(body));
    }

    private static Map<String, Object> pair(String key, Entry entry) {
        Map<String, Object> pair = Json.object("key", key, "v", entry.value, "stamp", entry.stamp);
        if (entry.permit != null) pair.put("permit", entry.permit);
        return pair;
    }

    private Web.Answer get(String key) {
        Entry entry = keys.get(key);
        return entry == null ? new Web.Answer(404, Json.write(Json.object("edition", edition))) : ok(pair(key, entry));
    }

    private Web.Answer list(Map<String, String> query) {
        String under = query.get("under");
        String since = query.getOrDefault("since", "");
        int limit = Math.min(1000, Integer.parseInt(query.getOrDefault("limit", "1000")));
        List<Object> pairs = new ArrayList<>();
        boolean hasNext = false;
        for (Map.Entry<String, Entry> entry : keys.entrySet()) {
            if (!entry.getKey().startsWith(under) || entry.getKey().compareTo(since) <= 0) continue;
            if (pairs.size() == limit) {
                hasNext = true;
                break;
            }
            pairs.add(pair(entry.getKey(), entry.getValue()));
        }
        return ok(Json.object("pairs", pairs, "hasNext", hasNext, "edition", edition));
    }

    @SuppressWarnings("unchecked")
    private synchronized Web.Answer transact(Map<String, Object> txn) {
        List<Object> failed = new ArrayList<>();
        for (Object item : (List<Object>) txn.getOrDefault("if", List.of())) {
            Map<String, Object> condition = (Map<String, Object>) item;
            Entry entry = keys.get((String) condition.get("key"));
            long stamp = entry == null ? 0 : entry.stamp;
            if (stamp != (Long) condition.get("stamp")) failed.add(condition.get("key"));
        }
        List<Object> then = (List<Object>) txn.getOrDefault("then", List.of());
        for (Object item : then) {
            Object permit = ((Map<String, Object>) item).get("permit");
            if (permit != null && !leases.containsKey(((Number) permit).longValue())) {
                return new Web.Answer(400, "{\"error\":\"no such lease\"}");
            }
        }
        if (!failed.isEmpty()) {
            return new Web.Answer(409, Json.write(Json.object("failed", failed, "edition", edition)));
        }
        if (then.isEmpty()) return ok(Json.object("edition", edition));
        edition++;
        for (Object item : then) {
            Map<String, Object> change = (Map<String, Object>) item;
            if (change.get("put") == null) {
                remove((String) change.get("remove"));
                continue;
            }
            Entry entry = new Entry();
            entry.value = change.get("v");
            entry.stamp = edition;
            entry.permit = change.get("permit") == null ? null : ((Number) change.get("permit")).longValue();
            keys.put((String) change.get("put"), entry);
            addChange(Json.object("put", change.get("put"), "v", entry.value, "stamp", edition));
        }
        notifyAll();
        return ok(Json.object("edition", edition));
    }

    private synchronized Web.Answer watch(Map<String, String> query) throws InterruptedException {
        String under = query.get("under");
        long since = Long.parseLong(query.getOrDefault("since", "0"));
        long untilMs = Clock.ms() + Long.parseLong(query.getOrDefault("blockMs", "0"));
        while (true) {
            if (changes.size() == KEPT_CHANGES && (Long) changes.get(0).get("stamp") > since + 1) {
                return new Web.Answer(410, "{}");
            }
            List<Object> news = new ArrayList<>();
            for (Map<String, Object> change : changes) {
                Object key = change.containsKey("put") ? change.get("put") : change.get("remove");
                if ((Long) change.get("stamp") > since && ((String) key).startsWith(under)) {
                    news.add(new LinkedHashMap<>(change));
                }
            }
            long leftMs = untilMs - Clock.ms();
            if (!news.isEmpty() || leftMs <= 0 || closed) return ok(Json.object("edition", edition, "news", news));
            wait(leftMs);
        }
    }
}
