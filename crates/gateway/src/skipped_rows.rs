//! Logs rows that another writer made, each once.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, PoisonError};

use crate::event_log::Event;
use crate::shared::Shared;
use crate::source::{Topic, UnreadableRow};

/// Rows and faults that are remembered, so that each is logged once.
const REMEMBERED_MAX: usize = 1_024;

/// Rows that were logged, with the field that was at fault.
#[derive(Debug, Default)]
pub(crate) struct SkippedRows(Mutex<HashSet<(Arc<str>, Arc<str>)>>);

impl SkippedRows {
    /// Whether a row's fault was not logged before.
    fn is_news(&self, row: &UnreadableRow) -> bool {
        let mut logged = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if logged.len() >= REMEMBERED_MAX {
            logged.clear();
        }
        logged.insert((row.key.clone(), row.field.clone()))
    }
}

impl Shared {
    /// A row can't be read and says nothing.
    pub(crate) fn skip_row(&self, topic: Topic, row: &UnreadableRow) {
        self.metrics.count("rows_passed_over_total", "", 1);
        if !self.skipped_rows.is_news(row) {
            return;
        }
        self.event_log.emit(&Event::RowPassedOver {
            topic: match topic {
                Topic::Rules => "rules",
                Topic::Endpoints => "endpoints",
            },
            key: &row.key,
            version: row.version,
            field: &row.field,
            found: &row.found,
        });
    }
}
