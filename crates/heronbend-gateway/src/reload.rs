//! Reads the settings file again when a signal says that it has changed, or when it shows.
//!
//! A file with findings changes nothing. Settings that a running daemon can take over are in force
//! at once; the others are named in the log and wait for the next start.

use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use std::time::SystemTime;

use futures_lite::FutureExt;
use smol::Timer;

use crate::gateway::Gateway;
use crate::gateway::Tuning;
use crate::retirement::SignalListener;
use crate::settings::Settings;

/// Time between two looks whether the file has changed without a signal.
const LOOK_PERIOD: Duration = Duration::from_secs(5);

/// The settings of a daemon and the file that they came from.
pub struct Source {
    /// The file.
    pub path: PathBuf,
    /// What is in force.
    pub settings: Settings,
}

/// A setting whose value in the file differs from the one in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Changed {
    /// The field, with the names of its tables.
    pub field: &'static str,
    /// Whether a running daemon takes it over.
    pub is_taken_over: bool,
}

/// Follows the file until the daemon ends.
pub async fn follow(gateway: Rc<Gateway>, mut source: Source, signal: SignalListener) {
    let mut seen = modified(&source.path);
    loop {
        let asked = async {
            signal.wait().await;
            true
        };
        let looked = async {
            Timer::after(LOOK_PERIOD).await;
            false
        };
        let is_asked = asked.or(looked).await;
        let now = modified(&source.path);
        if is_asked {
            log::info!("event=reload_requested file={}", source.path.display());
        }
        if is_asked || now != seen {
            seen = now;
            reload(&gateway, &mut source);
        }
    }
}

fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|metadata| metadata.modified()).ok()
}

fn reload(gateway: &Gateway, source: &mut Source) {
    let file = source.path.display().to_string();
    let text = match std::fs::read_to_string(&source.path) {
        Ok(text) => text,
        Err(error) => {
            log::warn!("event=settings_not_read file={file} error=\"{error}\"");
            return;
        }
    };
    let settings = match Settings::parse(&file, &text) {
        Ok(settings) => settings,
        Err(findings) => {
            for finding in &findings.findings {
                log::warn!(
                    "event=settings_refused file={file} field={} problem={:?}",
                    finding.field,
                    finding.problem
                );
            }
            return;
        }
    };
    let changed = changes(&source.settings, &settings);
    for change in &changed {
        log::info!(
            "event=settings_changed file={file} field={} in_force={}",
            change.field,
            if change.is_taken_over { "now" } else { "next_start" }
        );
    }
    log::info!("event=settings_reloaded file={file} changed={}", changed.len());
    take_over(gateway, &settings);
    source.settings = settings;
}

/// The fields whose values differ.
pub fn changes(old: &Settings, new: &Settings) -> Vec<Changed> {
    let fields = [
        ("node", old.node != new.node, false),
        ("zone", old.zone != new.zone, false),
        ("region", old.region != new.region, false),
        ("listen.callers", old.callers != new.callers, false),
        ("listen.ready", old.ready != new.ready, false),
        ("listen.peers", old.peers != new.peers, false),
        ("listen.metrics", old.metrics != new.metrics, false),
        ("seeds", old.seeds != new.seeds, true),
        ("first_start", old.first_start != new.first_start, false),
        ("store.address", old.store != new.store, false),
        ("store.max_object_bytes", old.max_object_bytes != new.max_object_bytes, true),
        ("access.fail_closed", old.fail_closed != new.fail_closed, true),
        ("access.revocation_notice_ms", old.revocation_notice != new.revocation_notice, true),
        ("provider.address", old.provider != new.provider, false),
        ("provider.duties", old.duties != new.duties, false),
        ("provider.usage", old.usage != new.usage, false),
        ("processor_share", old.processor_share != new.processor_share, false),
        ("memory_limit_mb", old.memory_limit_mb != new.memory_limit_mb, false),
        ("lease_pause_ms", old.lease_pause != new.lease_pause, false),
        ("result_retention_s", old.result_retention != new.result_retention, true),
        ("stop_limit_s", old.stop_limit != new.stop_limit, true),
        ("drain_notice_ms", old.drain_notice != new.drain_notice, false),
        ("zones", old.zones != new.zones, true),
        ("evacuation_notice_ms", old.evacuation_notice != new.evacuation_notice, false),
        ("cold", old.cold_margin != new.cold_margin, true),
        ("configuration_notice_ms", old.configuration_notice != new.configuration_notice, false),
    ];
    let differing = fields.into_iter().filter(|(_, differs, _)| *differs);
    differing.map(|(field, _, is_taken_over)| Changed { field, is_taken_over }).collect()
}

fn take_over(gateway: &Gateway, settings: &Settings) {
    let tuning = Tuning {
        max_object_bytes: settings.max_object_bytes,
        result_retention: settings.result_retention,
        stop_limit: settings.stop_limit,
        max_configuration_age: settings.tuning().max_configuration_age,
        cold_margin: settings.cold_margin,
        ..gateway.tuning()
    };
    gateway.set_tuning(tuning);
    gateway.set_zone_regions(&settings.zones);
    *gateway.seeds.borrow_mut() = settings.addresses().seeds;
}
