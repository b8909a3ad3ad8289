//! Logs each row that can't be read once.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, PoisonError};

use crate::event_log::Event;
use crate::shared::Shared;
use crate::source::{Topic, UnreadableRow};

/// Most rows remembered as logged. Beyond, all are forgotten and may be logged again.
const MAX_LOGGED_ROWS: usize = 1_024;

/// Keys of logged rows, with the field that can't be read.
#[derive(Debug, Default)]
pub(crate) struct SkippedRows(Mutex<HashSet<(Arc<str>, Arc<str>)>>);

impl SkippedRows {
    /// Whether a row's unreadable field was not logged before.
    fn is_new(&self, row: &UnreadableRow) -> bool {
        let mut logged = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if logged.len() >= MAX_LOGGED_ROWS {
            logged.clear();
        }
        logged.insert((row.key.clone(), row.field.clone()))
    }
}

impl Shared {
    /// Counts a row that can't be read, and logs it the first time.
    pub(crate) fn skip_row(&self, topic: Topic, row: &UnreadableRow) {
        self.metrics.count("rows_passed_over_total", "", 1);
        if !self.skipped_rows.is_new(row) {
            return;
        }
        self.event_log.emit(&Event::RowPassedOver {
            topic: topic.name(),
            key: &row.key,
            version: row.version,
            field: &row.field,
            found: &row.found,
        });
    }
}
