//! Load that servers report in the headers of their responses, and choices made by it.

use std::cell::Cell;
use std::time::Duration;

use heronbend::placement::ReportUse;
use heronbend::Moment;
use http::HeaderMap;

use crate::directory::Server;
use crate::gateway::Gateway;

/// Minimum time between two log lines about malformed reports. A server repeats its error in every
/// response.
const ERROR_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// What was logged about the reports of servers.
#[derive(Debug, Default)]
pub struct LoadReports {
    error_logged_at: Cell<Option<Moment>>,
    /// Malformed reports since the last log line about one.
    unlogged_errors: Cell<u64>,
}

/// Records the load that a server reports in the headers of a response, if reports are used.
pub fn record(gateway: &Gateway, server: &Server, headers: &HeaderMap) {
    if !gateway.tuning().rank_options.server_load {
        return;
    }
    match gateway.dialect.load_report(headers) {
        None => {}
        Some(Ok(report)) => {
            gateway.metrics.load_reports.inc();
            let mut directory = gateway.directory.borrow_mut();
            // The response may be of an earlier run of a server that has restarted since.
            let is_current = directory
                .get(&server.id)
                .is_some_and(|known| known.incarnation == server.incarnation);
            if is_current {
                directory.placer.record_report(gateway.now(), &server.id, report);
            }
        }
        Some(Err(error)) => {
            gateway.metrics.load_reports_malformed.inc();
            log_error(gateway, server, &error);
        }
    }
}

fn log_error(gateway: &Gateway, server: &Server, error: &dyn std::fmt::Display) {
    let reports = &gateway.load_reports;
    let now = gateway.now();
    let is_due = reports.error_logged_at.get().is_none_or(|last| now >= last + ERROR_LOG_INTERVAL);
    if !is_due {
        reports.unlogged_errors.set(reports.unlogged_errors.get() + 1);
        return;
    }
    reports.error_logged_at.set(Some(now));
    log::warn!(
        "event=load_report_malformed server={} problem=\"{error}\" earlier={}",
        server.id,
        reports.unlogged_errors.take()
    );
}

/// Logs and counts a choice that reports have changed. `kind` and `id` name the request.
pub fn log_use(gateway: &Gateway, (kind, id): (&str, &str), used: Option<ReportUse>) {
    let Some(used) = used else {
        return;
    };
    gateway.metrics.choices_by_load.inc();
    let directory = gateway.directory.borrow();
    let name = |key| directory.placer.id(key).unwrap_or("gone");
    let Some(received) = used.report else {
        log::info!(
            "event=placed_by_load {kind}={id} server={} instead_of={}",
            name(used.chosen),
            name(used.otherwise)
        );
        return;
    };
    let age = gateway.now().saturating_sub(received.received_at);
    gateway.metrics.used_report_age.observe(age.as_secs_f64());
    let report = received.report;
    log::info!(
        "event=placed_by_load {kind}={id} server={} instead_of={} age_ms={} running={} waiting={} \
         slots={} slowdown={}",
        name(used.chosen),
        name(used.otherwise),
        age.as_millis(),
        report.running,
        report.waiting,
        report.slots,
        report.slowdown.unwrap_or(1.0)
    );
}
