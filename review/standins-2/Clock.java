package standins2;

/** The steady clock in milliseconds since the start of the run. */
public final class Clock {
    private static final long START = System.nanoTime();

    private Clock() {}

    public static long ms() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    public static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
