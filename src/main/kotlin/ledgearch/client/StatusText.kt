package ledgearch.client

import ledgearch.recovery.RecoveryReport
import ledgearch.recovery.ZoneReport
import ledgearch.standby.StandbyReport
import ledgearch.status.MetricsReport
import java.util.Locale

/** Formats the status of a controller for operators: a summary line, then lines for each enabled feature. */
internal object StatusText {
    /** Returns the lines for the controller at [address], without line separators. */
    fun of(
        address: String,
        status: ControllerStatus,
    ): List<String> =
        when (status) {
            is ControllerStatus.Unavailable -> listOf("$address: no valid response")
            is ControllerStatus.Available -> listOf("$address: ${summary(status.report)}") + detailLines(status.report)
        }

    private fun summary(report: MetricsReport): String {
        val role = if (report.token == 0L) "does not lead" else "leads under token ${report.token}"
        val work = "${report.openJobs} open jobs, ${report.machines} machines, ${report.tasks} tasks"
        return "${report.node} $role, $work"
    }

    private fun detailLines(report: MetricsReport): List<String> =
        servingLines(report) + report.standby?.let { listOf("  standby: ${standbyText(it)}") }.orEmpty() +
            report.recovery?.let(::recoveryLines).orEmpty()

    /** Returns the line on the controller's view and its waiting requests; none for a version that reports neither. */
    private fun servingLines(report: MetricsReport): List<String> {
        val view = report.view ?: return emptyList()
        val age = if (view.ageMs < 0) "not read yet" else "${view.ageMs} ms old"
        val polls = report.polls?.let { "${it.waiting} polls wait, the oldest for ${it.oldestMs} ms" }.orEmpty()
        val limits = if (report.store?.lowerLimits == true) "lower rate limits" else "normal rate limits"
        return listOf("  ${report.health}: view of revision ${view.revision} $age; $polls; $limits")
    }

    private fun recoveryLines(report: RecoveryReport): List<String> {
        val displaced = report.displaced.entries.joinToString { (group, tasks) -> "$group $tasks" }
        return report.zones.map(::zoneLine) + "  displaced tasks waiting: ${displaced.ifEmpty { "none" }}"
    }

    private fun zoneLine(zone: ZoneReport): String =
        "  zone ${zone.zone}: ${zone.state} for ${zone.forMs} ms (${zone.why}), " +
            "penalty %.2f, %.0f%% admitted".format(Locale.ROOT, zone.penalty, zone.admittedShare * PERCENT)

    private fun standbyText(report: StandbyReport): String =
        if (report.role == StandbyReport.LEADER) {
            "streams to ${report.followers} followers, term ${report.term}, sequence ${report.sequence}, " +
                "${report.recordsBehind} records behind, ${report.snapshotsSent} snapshots sent, " +
                "${report.streamsDropped} streams dropped, ${report.bytesSent} bytes sent"
        } else {
            val lag = if (report.msBehind < 0) "no complete replica" else "${report.msBehind} ms behind"
            "follows term ${report.term}, sequence ${report.sequence}, ${report.recordsHeld} records held, " +
                "${report.recordsBehind} records and $lag, ${report.replicasDropped} replicas dropped"
        }

    private const val PERCENT = 100
}
