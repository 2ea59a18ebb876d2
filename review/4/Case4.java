import java.util.List;
import standins2.Case;
import standins2.Clock;
import standins2.Cluster.JobSpec;
import standins2.Worker;

/** While the cloud's interface is down, a machine is back within a fraction of a second and gets a task. */
public final class Case4 extends Case {
    private static final String X = "job-000003/0";

    public static void main(String[] arguments) throws Exception {
        new Case4().run(arguments);
    }

    @Override
    protected String play() throws Exception {
        Worker m = cluster.addMachine("host-000101", "casa-nord", 1000);
        Worker n = cluster.addMachine("host-000102", "rabat-sud", 1000);
        cluster.start();
        cluster.need("a leader is elected", 10_000, () -> cluster.state.leader() != null);
        cluster.need("both machines are recorded", 15_000, () -> isRecorded(m) && isRecorded(n));
        // Fills the second machine for some seconds, so that the next two jobs are placed on the first one.
        submit(new JobSpec("job-000001", 2, 4.0, 14.0, "rabat-sud", "img-1", 0.3));
        cluster.need("the second machine is full", 10_000,
            () -> ledger.isOn("job-000001/0", n.name) && ledger.isOn("job-000001/1", n.name));
        submit(new JobSpec("job-000002", 1, 4.0, 90.0, null, "img-1", 0.3));
        cluster.need("the first machine has a task", 10_000, () -> ledger.isOn("job-000002/0", m.name));

        long reports = m.reports().size();
        cluster.need("the first machine has reported just now", 10_000, () -> m.reports().size() > reports);
        long sinceMs = Clock.ms();
        if (!isCalm) {
            cluster.cloud.setDown(true);
            Clock.sleep(100);
            m.restart(300);
        }
        submit(new JobSpec("job-000003", 1, 4.0, 90.0, null, "img-1", 0.3));
        cluster.need("the task of the new job is on the first machine", 10_000, () -> ledger.isOn(X, m.name));
        // The cloud is out for 25 s, as in the site file of this deployment.
        while (Clock.ms() < sinceMs + 25_000) {
            cluster.poll("job-000003");
            Clock.sleep(2000);
        }
        if (!isCalm) cluster.cloud.setDown(false);
        Clock.sleep(5000);
        List<String> violations = ledger.violations();
        return violations.isEmpty() ? null : violations.get(0);
    }

    private void submit(JobSpec job) throws InterruptedException {
        if (!cluster.submit(job)) throw new standins2.Cluster.CannotRun(job.id() + " was not accepted");
    }

    private boolean isRecorded(Worker worker) {
        return cluster.state.hasMachine(worker.name);
    }
}
