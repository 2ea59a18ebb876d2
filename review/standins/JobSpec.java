import java.util.Map;

/** A job as its user submits it, and how its tasks behave on the stand-ins of the workers. */
final class JobSpec {
    static final JobSpec NONE = new JobSpec("", "", "", false, 0, 0, 0);

    private final String id;
    private final String jobClass;
    private final String team;
    private final boolean isService;
    private final int tasks;
    private final double cpus;
    private double memoryGb;
    private String urgency;
    private final String image;
    private String zone = null;
    private final boolean isSpread;
    private final boolean mayUseSpot;
    private final double runS;
    private boolean fails = false;

    private JobSpec(String id, String jobClass, String team, boolean isService, int tasks, double cpus, double runS) {
        this.id = id;
        this.jobClass = jobClass;
        this.team = team;
        this.isService = isService;
        this.tasks = tasks;
        this.cpus = cpus;
        this.runS = runS;
        urgency = isService ? "prod" : "urgent";
        image = isService ? "img-2" : "img-1";
        memoryGb = isService ? 3.3 : 2.3;
        isSpread = isService;
        mayUseSpot = !isService;
    }

    static JobSpec array(String id, String jobClass, String team, int tasks, double cpus, double runS) {
        return new JobSpec(id, jobClass, team, false, tasks, cpus, runS);
    }

    /** A service that is spread over zones. */
    static JobSpec service(String id, String jobClass, String team, int tasks, double cpus) {
        return new JobSpec(id, jobClass, team, true, tasks, cpus, 0);
    }

    /** Submitted with a mistake: its tasks fail on every machine. */
    JobSpec broken() {
        fails = true;
        return this;
    }

    JobSpec withUrgency(String name) {
        urgency = name;
        return this;
    }

    JobSpec withMemoryGb(double gb) {
        memoryGb = gb;
        return this;
    }

    JobSpec inZone(String name) {
        zone = name;
        return this;
    }

    String id() { return id; }

    boolean isService() { return isService; }

    double cpus() { return cpus; }

    double memoryGb() { return memoryGb; }

    String image() { return image; }

    long runMs() { return (long) (runS * 1000); }

    boolean fails() { return fails; }

    String body() {
        Map<String, Object> body = Json.map("ref", id, "menu", jobClass, "crew", team, "shape", isService ? "standing" : "sweep",
            "urgency", urgency, "portions", tasks, "vcpus", cpus, "accelerators", 0.0, "memoryGb", memoryGb,
            "recipe", image, "sizeGb", 1.2, "racks", null, "hall", zone, "samePlace", false, "apart", isSpread,
            "borrowed", mayUseSpot, "cookS", runS, "stirS", 0.0, "plateS", 0.0, "serveS", null);
        return Json.write(body);
    }
}
