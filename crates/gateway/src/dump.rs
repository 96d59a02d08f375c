//! The state of an entry as JSON.

use serde_json::json;

use crate::entry::Entry;
use crate::logs;

impl Entry {
    /// Returns the state as JSON, for the dump of the process.
    pub fn dump(&self) -> String {
        let now = self.now();
        let state = self.state();
        let runners: Vec<_> = state
            .fleet
            .runners()
            .map(|runner| {
                json!({
                    "id": &*runner.member.id,
                    "service": &*runner.member.service,
                    "addr": runner.member.addr,
                    "phase": format!("{:?}", runner.member.phase),
                    "inflight": runner.inflight,
                    "others": runner.others_inflight,
                    "linked": runner.linked,
                    "up": runner.up,
                    "room": runner.room,
                    "limit": state.fleet.backpressure.rate_limit(now, &runner.member.id, runner.member.born),
                    "report_age_ms": now.since(runner.reported_at).as_millis() as u64,
                    "error_rate": runner.health.error_rate(),
                    "adapters": runner.adapters.iter().map(|(name, view)| {
                        format!("{name}@{}{}", view.version, if view.ready_at.is_some() { " coming" } else { "" })
                    }).collect::<Vec<_>>(),
                })
            })
            .collect();
        let version = state.config.as_ref().map(|config| config.version);
        let held = state.quarantine.held();
        let held: Vec<_> = held
            .map(|(part, hold)| {
                let hold_ms = hold.until.since(now).as_millis() as u64;
                json!({"part": part.to_string(), "hold_ms": hold_ms, "level": hold.level})
            })
            .collect();
        json!({
            "instance": self.settings.instance,
            "config_version": version,
            "entries": state.fleet.entries.reported(),
            "log_lines_dropped": logs::dropped_lines(),
            "runners": runners,
            "held_parts": held,
        })
        .to_string()
    }
}
