import java.util.List;
import standins2.Case;
import standins2.Clock;
import standins2.Cluster.JobSpec;
import standins2.Worker;

/** A controller and a machine are back soon, and a copy of an old report of that machine comes late. */
public final class Case5 extends Case {
    public static void main(String[] arguments) throws Exception {
        new Case5().run(arguments);
    }

    @Override
    protected String play() throws Exception {
        Worker m = cluster.addMachine("host-000101", "casa-nord", 1000);
        Worker n = cluster.addMachine("host-000102", "rabat-sud", 1000);
        cluster.start(n);
        cluster.need("a leader is elected", 10_000, () -> cluster.state.leader() != null);
        String first = cluster.state.leader();
        // The next leader is the first of the others; the state service answers the third one a little later.
        List<String> others = cluster.nodes().stream().filter(node -> !node.equals(first)).toList();
        String second = others.get(0);
        cluster.state.delayTransactions(others.get(1), 300);
        Clock.sleep(1500);
        // The machine reports to the later leader first, which names the present one.
        m.startAt(second);
        cluster.need("both machines are recorded", 15_000,
            () -> cluster.state.hasMachine(m.name) && cluster.state.hasMachine(n.name));
        Worker.Report old = m.reports().get(0);
        if (!old.node().equals(second)) throw new standins2.Cluster.CannotRun("the first report went elsewhere");

        submit(new JobSpec("job-000001", 1, 4.0, 0.0, "rabat-sud", "img-1", 0.3));
        submit(new JobSpec("job-000002", 1, 4.0, 25.0, "rabat-sud", "img-1", 0.3));
        cluster.need("the second machine is full", 10_000,
            () -> ledger.isOn("job-000001/0", n.name) && ledger.isOn("job-000002/0", n.name));
        submit(new JobSpec("job-000003", 1, 4.0, 90.0, null, "img-1", 0.3));
        cluster.need("the first machine has the task", 10_000, () -> ledger.isOn("job-000003/0", m.name));

        if (!isCalm) {
            cluster.kill(first);
            m.restart(300);
            cluster.need("the next controller leads", 10_000, () -> second.equals(cluster.state.leader()));
            cluster.startControllerLater(first, 5000);
            cluster.need("the task runs again on the first machine", 15_000, () -> ledger.isOn("job-000003/0", m.name));
        }
        cluster.need("there is room on the second machine", 40_000, () -> !ledger.isOn("job-000002/0", n.name));
        while (Clock.ms() < old.sentAtMs() + 30_000) {
            cluster.poll("job-000003");
            Clock.sleep(2000);
        }
        if (!isCalm) cluster.deliverCopy(old);
        Clock.sleep(6000);
        cluster.poll("job-000003");
        List<String> violations = ledger.violations();
        return violations.isEmpty() ? null : violations.get(0);
    }

    private void submit(JobSpec job) throws InterruptedException {
        if (!cluster.submit(job)) throw new standins2.Cluster.CannotRun(job.id() + " was not accepted");
    }
}
