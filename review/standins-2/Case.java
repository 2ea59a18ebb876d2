package standins2;

import java.nio.file.Path;

/** Runs one case and gives its exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
public abstract class Case {
    protected Cluster cluster;
    protected Ledger ledger;

    /** Whether the disruption is left out. */
    protected final boolean isCalm = "0".equals(System.getenv("TROUBLE"));

    /** Plays the case; returns what broke the rule, or null if it held. */
    protected abstract String play() throws Exception;

    /** [arguments] are the folder of the repository and that of the case. */
    protected void run(String[] arguments) throws Exception {
        // Well below the 120 s that a run may take; a run that hangs couldn't run.
        Thread guard = new Thread(() -> {
            Clock.sleep(115_000);
            System.err.println("the case did not end in time");
            System.exit(2);
        });
        guard.setDaemon(true);
        guard.start();
        int code;
        cluster = new Cluster(Path.of(arguments[0]), Path.of(arguments[1], "record.txt"));
        try {
            ledger = cluster.ledger;
            try {
                String broken = play();
                ledger.write(broken == null ? "RESULT the rule held" : "RESULT rule broken: " + broken);
                System.out.println(broken == null ? "rule held" : "rule broken: " + broken);
                code = broken == null ? 0 : 1;
            } catch (Exception e) {
                ledger.write("RESULT could not run: " + e);
                System.out.println("could not run: " + e);
                code = 2;
            }
        } finally {
            cluster.close();
        }
        System.exit(code);
    }
}
