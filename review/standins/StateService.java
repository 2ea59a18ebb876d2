import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the state service: keys with revisions, transactions, leases and watches, within its rate limits. */
final class StateService {
    private record Entry(Object value, long revision, long lease) { }

    private record Change(long revision, boolean isPut, String key, Object value) { }

    private static final int KEPT_CHANGES = 10_000;
    private static final int MAX_PAGE_BYTES = 512 * 1024;

    private final TreeMap<String, Entry> keys = new TreeMap<>();
    private final ArrayList<Change> changes = new ArrayList<>();
    private final Map<Long, long[]> leases = new HashMap<>();
    private long revision = 0;
    private long lastLease = 0;
    private final double rps;
    private final double writeRps;
    private double requestPermits;
    private double changePermits;
    private long refilledNanos = System.nanoTime();

    StateService(double rps, double writeRps) {
        this.rps = rps;
        this.writeRps = writeRps;
        requestPermits = rps;
        changePermits = writeRps;
        Http.THREADS.execute(() -> {
            while (true) {
                Clock.sleep(20);
                expireLeases();
            }
        });
    }

    synchronized Object valueOf(String key) {
        Entry entry = keys.get(key);
        return entry == null ? null : entry.value();
    }

    private synchronized void expireLeases() {
        long now = Clock.ms();
        Iterator<Map.Entry<Long, long[]>> all = leases.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<Long, long[]> lease = all.next();
            if (now <= lease.getValue()[1]) continue;
            all.remove();
            end(lease.getKey());
        }
    }

    private void end(long lease) {
        List<String> attached = new ArrayList<>();
        for (Map.Entry<String, Entry> entry : keys.entrySet()) if (entry.getValue().lease() == lease) attached.add(entry.getKey());
        if (attached.isEmpty()) return;
        revision++;
        for (String key : attached) remove(key);
        notifyAll();
    }

    private void remove(String key) {
        if (keys.remove(key) != null) add(new Change(revision, false, key, null));
    }

    private void add(Change change) {
        changes.add(change);
        if (changes.size() > 2 * KEPT_CHANGES) changes.subList(0, changes.size() - KEPT_CHANGES).clear();
    }

    private boolean allows(int changeCount) {
        long now = System.nanoTime();
        double seconds = (now - refilledNanos) / 1e9;
        refilledNanos = now;
        requestPermits = Math.min(rps, requestPermits + seconds * rps);
        changePermits = Math.min(writeRps, changePermits + seconds * writeRps);
        if (requestPermits < 1 || changePermits < changeCount) return false;
        requestPermits--;
        changePermits -= changeCount;
        return true;
    }

    private static Http.Answer ok(Object body) { return new Http.Answer(200, Json.write(body)); }

    private static final Http.Answer TOO_MANY = new Http.Answer(429, "{\"error\":\"too many\"}");

    Http.Answer handle(String method, String path, Map<String, String> query, String body) throws Exception {
        if (path.equals("/txn")) return transact(Json.object(body));
        synchronized (this) {
            if (!allows(0)) return TOO_MANY;
        }
        if (path.equals("/changes")) return watch(query);
        if (path.equals("/keys")) return list(query);
        if (path.startsWith("/keys/")) return get(path.substring(6));
        if (path.equals("/leases")) return openLease(Json.object(body));
        if (path.startsWith("/leases/")) return lease(method, path.substring(8));
        return new Http.Answer(400, "{}");
    }

    private synchronized Http.Answer get(String key) {
        Entry entry = keys.get(key);
        if (entry == null) return new Http.Answer(404, Json.write(Json.map("edition", revision)));
        Map<String, Object> answer = Json.map("key", key, "v", entry.value(), "stamp", entry.revision());
        if (entry.lease() != 0) answer.put("permit", entry.lease());
        return ok(answer);
    }

    private synchronized Http.Answer list(Map<String, String> query) {
        String prefix = query.get("under");
        String after = query.getOrDefault("since", "");
        int limit = Math.min(1000, Integer.parseInt(query.getOrDefault("limit", "1000")));
        List<Object> pairs = new ArrayList<>();
        boolean hasNext = false;
        int bytes = 0;
        for (Map.Entry<String, Entry> entry : keys.tailMap(prefix).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) break;
            if (entry.getKey().compareTo(after) <= 0) continue;
            Map<String, Object> pair = Json.map("key", entry.getKey(), "v", entry.getValue().value(), "stamp", entry.getValue().revision());
            bytes += Json.write(pair).length();
            if (pairs.size() == limit || (bytes > MAX_PAGE_BYTES && !pairs.isEmpty())) {
                hasNext = true;
                break;
            }
            pairs.add(pair);
        }
        return ok(Json.map("pairs", pairs, "hasNext", hasNext, "edition", revision));
    }

    @SuppressWarnings("unchecked")
    private synchronized Http.Answer transact(Map<String, Object> transaction) {
        List<Object> conditions = (List<Object>) transaction.getOrDefault("if", List.of());
        List<Object> wanted = (List<Object>) transaction.getOrDefault("then", List.of());
        if (conditions == null) conditions = List.of();
        if (wanted == null) wanted = List.of();
        if (!allows(wanted.size())) return TOO_MANY;
        List<Object> failed = new ArrayList<>();
        for (Object item : conditions) {
            Map<String, Object> condition = (Map<String, Object>) item;
            Entry entry = keys.get((String) condition.get("key"));
            if ((entry == null ? 0 : entry.revision()) != Json.number(condition.get("stamp"))) failed.add(condition.get("key"));
        }
        if (!failed.isEmpty()) return new Http.Answer(409, Json.write(Json.map("failed", failed, "edition", revision)));
        for (Object item : wanted) {
            Object lease = ((Map<String, Object>) item).get("permit");
            if (lease != null && !leases.containsKey(Json.number(lease))) {
                return new Http.Answer(400, "{\"error\":\"no such lease\"}");
            }
        }
        if (!wanted.isEmpty()) {
            revision++;
            for (Object item : wanted) {
                Map<String, Object> change = (Map<String, Object>) item;
                String key = (String) change.get("put");
                if (key == null) {
                    remove((String) change.get("remove"));
                    continue;
                }
                long lease = change.get("permit") == null ? 0 : Json.number(change.get("permit"));
                keys.put(key, new Entry(change.get("v"), revision, lease));
                add(new Change(revision, true, key, change.get("v")));
            }
            notifyAll();
        }
        return ok(Json.map("edition", revision));
    }

    private synchronized Http.Answer watch(Map<String, String> query) throws InterruptedException {
        String prefix = query.get("under");
        long since = Long.parseLong(query.get("since"));
        long until = Clock.ms() + Long.parseLong(query.getOrDefault("blockMs", "0"));
        while (true) {
            if (changes.size() >= KEPT_CHANGES && changes.get(changes.size() - KEPT_CHANGES).revision() > since + 1) {
                return new Http.Answer(410, "{}");
            }
            List<Object> news = new ArrayList<>();
            for (int i = changes.size() - 1; i >= 0 && changes.get(i).revision() > since; i--) {
                Change change = changes.get(i);
                if (!change.key().startsWith(prefix)) continue;
                news.add(0, change.isPut()
                    ? Json.map("put", change.key(), "v", change.value(), "stamp", change.revision())
                    : Json.map("remove", change.key(), "stamp", change.revision()));
            }
            long left = until - Clock.ms();
            if (!news.isEmpty() || left <= 0) return ok(Json.map("edition", revision, "news", news));
            wait(left);
        }
    }

    private synchronized Http.Answer openLease(Map<String, Object> body) {
        long life = Json.number(body.get("lifeMs"));
        leases.put(++lastLease, new long[] {life, Clock.ms() + life});
        return ok(Json.map("permit", lastLease));
    }

    private synchronized Http.Answer lease(String method, String rest) {
        long id = Long.parseLong(rest.replace("/touch", ""));
        long[] lease = leases.get(id);
        if (lease == null) return new Http.Answer(404, "{}");
        if (method.equals("DELETE")) {
            leases.remove(id);
            end(id);
        } else {
            lease[1] = Clock.ms() + lease[0];
        }
        return ok(Json.map("permit", id));
    }
}
