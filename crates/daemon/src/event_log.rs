//! Writes the log events of the core to the log.

use jacinthlever_core::{LogEvent, Severity};
use jacinthlever_types::InstanceId;

/// Writes one log event with the name of the instance.
pub fn write(instance: &InstanceId, event: &LogEvent) {
    let level = match event.severity() {
        Severity::Info => log::Level::Info,
        Severity::Warn => log::Level::Warn,
        Severity::Error => log::Level::Error,
    };
    log::log!(target: "jacinthlever", level, "{instance} {event}");
}
