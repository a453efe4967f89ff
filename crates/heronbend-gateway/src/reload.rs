//! Reloads the settings file on a signal, or when its modification time changes.
//!
//! An invalid file is ignored. Settings that can be changed at runtime take effect immediately; the
//! others are logged and take effect at the next start.

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

/// Interval at which the file's modification time is checked.
const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// The current settings of a daemon, with their file.
pub struct SettingsSource {
    /// Path of the settings file.
    pub path: PathBuf,
    /// The settings as last loaded.
    pub settings: Settings,
}

/// A setting whose value differs between two versions of the file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SettingChange {
    /// Dotted path of the field.
    pub field: &'static str,
    /// Whether the change takes effect without a restart.
    pub applies_live: bool,
}

/// Watches the settings file and applies its changes. Never returns.
pub async fn watch_settings(
    gateway: Rc<Gateway>,
    mut source: SettingsSource,
    signal: SignalListener,
) {
    let mut last_modified = modification_time(&source.path);
    loop {
        let signalled = async {
            signal.wait().await;
            true
        };
        let polled = async {
            Timer::after(POLL_INTERVAL).await;
            false
        };
        let is_signalled = signalled.or(polled).await;
        let current_modified = modification_time(&source.path);
        if is_signalled {
            log::info!("event=reload_requested file={}", source.path.display());
        }
        if is_signalled || current_modified != last_modified {
            last_modified = current_modified;
            reload(&gateway, &mut source);
        }
    }
}

fn modification_time(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|metadata| metadata.modified()).ok()
}

fn reload(gateway: &Gateway, source: &mut SettingsSource) {
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
            if change.applies_live { "now" } else { "next_start" }
        );
    }
    log::info!("event=settings_reloaded file={file} changed={}", changed.len());
    apply(gateway, &settings);
    source.settings = settings;
}

/// Compares two versions of the settings and returns the fields that differ.
pub fn changes(old: &Settings, new: &Settings) -> Vec<SettingChange> {
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
        ("limits.unread_timeout_ms", old.unread_timeout != new.unread_timeout, false),
        ("memory_limit_mb", old.memory_limit_mb != new.memory_limit_mb, false),
        ("lease_pause_ms", old.lease_pause != new.lease_pause, false),
        ("result_retention_s", old.result_retention != new.result_retention, true),
        ("stop_limit_s", old.stop_limit != new.stop_limit, true),
        ("drain_notice_ms", old.drain_notice != new.drain_notice, false),
        ("zones", old.zones != new.zones, true),
        ("evacuation_notice_ms", old.evacuation_notice != new.evacuation_notice, false),
        ("cold", old.cold_margin != new.cold_margin, true),
        ("admission", old.admission != new.admission, true),
        ("scheduling.by_slack", old.by_slack != new.by_slack, true),
        ("configuration_notice_ms", old.configuration_notice != new.configuration_notice, false),
    ];
    let differing = fields.into_iter().filter(|(_, differs, _)| *differs);
    differing.map(|(field, _, applies_live)| SettingChange { field, applies_live }).collect()
}

fn apply(gateway: &Gateway, settings: &Settings) {
    let tuning = Tuning {
        max_object_bytes: settings.max_object_bytes,
        result_retention: settings.result_retention,
        stop_limit: settings.stop_limit,
        max_configuration_age: settings.tuning().max_configuration_age,
        cold_margin: settings.cold_margin,
        by_slack: settings.by_slack,
        ..gateway.tuning()
    };
    gateway.set_tuning(tuning);
    gateway.set_admission_settings(settings.admission.clone());
    gateway.set_zone_regions(&settings.zones);
    *gateway.seeds.borrow_mut() = settings.addresses().seeds;
}
