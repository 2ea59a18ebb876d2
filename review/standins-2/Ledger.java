package standins2;

import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** What was sent, answered and run, written to a file, and the rule that no task starts on two machines. */
public final class Ledger implements AutoCloseable {
    /** A time for which a task was on a machine; {@code untilMs} is -1 while it is. */
    public static final class Run {
        public final String task;
        public final long attempt;
        public final String machine;
        public final long fromMs;
        public long untilMs = -1;

        Run(String task, long attempt, String machine, long fromMs) {
            this.task = task;
            this.attempt = attempt;
            this.machine = machine;
            this.fromMs = fromMs;
        }
    }

    private final BufferedWriter out;
    private final List<Run> runs = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();

    public Ledger(Path file) throws IOException {
        out = Files.newBufferedWriter(file);
    }

    public synchronized void write(String line) {
        try {
            out.write(String.format("%7.3f  %s%n", Clock.ms() / 1000.0, line));
            out.flush();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Records that [task] is on [machine] from now on, since its image is there. */
    public synchronized void begin(String task, long attempt, String machine) {
        for (Run run : runs) {
            if (run.task.equals(task) && run.untilMs < 0 && !run.machine.equals(machine)) {
                String text = "ran_twice: " + task + " try " + attempt + " starts on " + machine + " while try "
                    + run.attempt + " is on " + run.machine + " since " + run.fromMs + " ms";
                violations.add(text);
                write("RULE BROKEN " + text);
            }
        }
        runs.add(new Run(task, attempt, machine, Clock.ms()));
        write("run    " + task + " try " + attempt + " is on " + machine);
    }

    public synchronized void end(String task, long attempt, String machine, String why) {
        for (Run run : runs) {
            if (run.untilMs < 0 && run.task.equals(task) && run.attempt == attempt && run.machine.equals(machine)) {
                run.untilMs = Clock.ms();
                write("run    " + task + " try " + attempt + " left " + machine + " (" + why + ")");
            }
        }
    }

    public synchronized List<Run> runs() {
        return new ArrayList<>(runs);
    }

    /** Returns whether a task whose name begins with [prefix] is on a machine now. */
    public synchronized boolean isOn(String prefix) {
        return runs.stream().anyMatch(run -> run.task.startsWith(prefix) && run.untilMs < 0);
    }

    /** Returns whether [task] is on [machine] now. */
    public synchronized boolean isOn(String task, String machine) {
        return runs.stream().anyMatch(r -> r.task.equals(task) && r.machine.equals(machine) && r.untilMs < 0);
    }

    /** Returns how often a task whose name begins with [prefix] came onto a machine after [sinceMs]. */
    public synchronized long startsSince(String prefix, long sinceMs) {
        return runs.stream().filter(run -> run.task.startsWith(prefix) && run.fromMs > sinceMs).count();
    }

    public synchronized List<String> violations() {
        return new ArrayList<>(violations);
    }

    @Override
    public synchronized void close() {
        try {
            out.close();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
