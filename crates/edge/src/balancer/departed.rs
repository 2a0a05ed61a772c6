//! What this host has observed of endpoints off the list, which the store may list again.

use std::collections::VecDeque;
use std::rc::Rc;

use super::health::Health;
use crate::config::ServiceId;
use crate::load::Load;
use crate::roster::Incarnation;

/// Endpoints off the list whose record is kept; the oldest are forgotten first.
const MAX_RECORDS: usize = 1024;

/// Observations of one incarnation at a service.
#[derive(Debug)]
pub(super) struct Record {
    pub(super) incarnation: Rc<Incarnation>,
    pub(super) service: ServiceId,
    pub(super) health: Health,
    pub(super) load: Load,
}

/// Records of endpoints off the list, oldest first.
#[derive(Debug, Default)]
pub(super) struct Departed {
    records: VecDeque<Record>,
}

impl Departed {
    /// Inserts the record of an endpoint that leaves the list.
    pub(super) fn insert(&mut self, record: Record) {
        if self.records.len() >= MAX_RECORDS {
            self.records.pop_front();
        }
        self.records.push_back(record);
    }

    /// Removes and returns the record of an incarnation at a service.
    pub(super) fn take(&mut self, incarnation: &Incarnation, service: &str) -> Option<Record> {
        let mut records = self.records.iter();
        let index = records
            .position(|record| *record.incarnation == *incarnation && record.service == service);
        self.records.remove(index?)
    }
}
