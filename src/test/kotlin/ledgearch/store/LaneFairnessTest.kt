package ledgearch.store

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** A planted order of turns that passes a lane over is reported, and a fair one is not. */
internal class LaneFairnessTest {
    private val passedOver = ArrayList<RequestLane>()
    private val fairness = LaneFairness(passedOver::add)
    private val waiting = listOf(RequestLane.WATCH, RequestLane.COMPARE, RequestLane.READ)

    @Test
    fun `a watch that is served again and again before a comparison is reported`() {
        repeat(2) { fairness.record(RequestLane.WATCH, waiting) }
        assertEquals(listOf(RequestLane.COMPARE, RequestLane.READ), passedOver)
    }

    @Test
    fun `lanes that take turns are not reported`() {
        repeat(10) { waiting.forEach { fairness.record(it, waiting) } }
        assertEquals(emptyList<RequestLane>(), passedOver)
    }

    @Test
    fun `a lane that could not send meanwhile is not reported`() {
        repeat(10) {
            fairness.record(RequestLane.WATCH, listOf(RequestLane.WATCH, RequestLane.WRITE))
            fairness.record(RequestLane.COMPARE, listOf(RequestLane.COMPARE))
        }
        assertEquals(emptyList<RequestLane>(), passedOver)
    }
}
