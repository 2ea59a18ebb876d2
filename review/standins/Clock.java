/** Milliseconds since this program began. */
final class Clock {
    private static final long START = System.nanoTime();

    static long ms() { return (System.nanoTime() - START) / 1_000_000; }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
