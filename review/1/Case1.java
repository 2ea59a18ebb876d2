import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A task moves to another machine; then the leader ends, and a request that the first machine had carried out is repeated. */
final class Case1 {
    private static final String TASK = "job-100/0";

    public static void main(String[] args) throws Exception {
        List<String> zones = List.of("windhoek-a", "windhoek-b");
        Cluster cluster = new Cluster(Path.of(args[0]), zones,
            List.of(new Cluster.Team("pantry", 208, 616), new Cluster.Team("storefront-crew", 616, 1432)),
            3, 27, 52, 0.2, 200, 80, 16, 24);
        Map<String, Integer> capacity = new LinkedHashMap<>();
        for (String zone : zones) capacity.put(zone, 1);
        Cloud cloud = new Cloud(cluster, "oryx-32", 32, 64, 25_000, capacity);
        cluster.start(cloud);
        for (String zone : zones) cloud.addRunning(zone);
        cluster.require("all controllers are up", 15_000, () -> cluster.isUp(0) && cluster.isUp(1) && cluster.isUp(2));

        // A task of low priority and one of normal priority on one machine.
        cluster.require("job-100 is accepted", 5_000,
            () -> cluster.submit(JobSpec.array("job-100", "stock-count", "pantry", 1, 4, 100).withUrgency("best_effort"), 0));
        cluster.require(TASK + " runs", 10_000, () -> cluster.machineOf(TASK) != null);
        String first = cluster.machineOf(TASK);
        String zone = cloud.workers().stream().filter(it -> it.name.equals(first)).findFirst().orElseThrow().zone();
        cluster.require("job-101 is accepted", 5_000,
            () -> cluster.submit(JobSpec.array("job-101", "stock-count", "pantry", 1, 12, 6).withUrgency("normal").inZone(zone), 0));
        cluster.require("job-101/0 runs", 10_000, () -> cluster.machineOf("job-101/0") != null);
        // A service needs more room there than is free: the task of low priority is stopped and starts on the other machine.
        cluster.require("job-102 is accepted", 5_000,
            () -> cluster.submit(JobSpec.service("job-102", "storefront", "storefront-crew", 1, 20).inZone(zone), 0));
        cluster.require(TASK + " runs on the other machine", 15_000,
            () -> cluster.machineOf(TASK) != null && !cluster.machineOf(TASK).equals(first));
        cluster.require("job-101/0 is done", 15_000, () -> cluster.results.contains("job-101/0"));
        Clock.sleep(4_000);
        cluster.require("job-101 is told as done", 5_000, () -> "done".equals(cluster.poll("job-101", 1)));

        if (cluster.hasTrouble) {
            int leader = cluster.leader();
            cluster.kill(leader);
            Clock.sleep(100);
            Worker worker = cloud.workers().stream().filter(it -> it.name.equals(first)).findFirst().orElseThrow();
            if (!worker.repeatStart(TASK)) cluster.finish(2, "the case could not run: the task was not started by a direct command");
            Clock.sleep(100);
            cluster.startNode(leader);
        }
        cluster.require("all controllers are up again", 30_000, () -> cluster.isUp(0) && cluster.isUp(1) && cluster.isUp(2));
        Clock.sleep(5_000);
        for (int node = 0; node < 3; node++) cluster.poll("job-100", node);
        if (!cluster.violations.isEmpty()) cluster.finish(1, "broken: " + cluster.violations);
        cluster.finish(0, "held: no task started on two machines");
    }
}
