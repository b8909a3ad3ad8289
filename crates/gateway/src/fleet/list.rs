//! The list of endpoints: whole reads, changes, and what other hosts get of them.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use chalkrock_core::EndpointId;
use chalkrock_routing::{ListReport, ListSource, PoolMember, StoreVersion};

use crate::fleet::Fleet;
use crate::source::{EndpointChange, EndpointRow, ListedEndpoint};

/// Minimum number of list changes retained for other hosts.
const MIN_RETAINED_CHANGES: usize = 256;
/// Changes are retained up to the length of the list divided by this; beyond that, the list
/// itself is shorter to send. With 256 changes of any list, a host 2 s behind while 50 of
/// 10,000 endpoints are replaced each second would need the whole list.
const RETAINED_CHANGES_DIVISOR: usize = 2;

/// A whole read of the endpoints in the store.
#[derive(Debug)]
pub(crate) struct WholeRead {
    /// Its rows, of endpoints that are listed or whose entries can't be read.
    pub(crate) rows: Vec<EndpointRow>,
    /// The version up to which no row is missing. Rows of later pages may be newer.
    pub(crate) complete_to: StoreVersion,
}

impl Fleet {
    /// Replaces the endpoint list by a whole read of the store, which is complete up to a
    /// version. Changes of later versions that other hosts have sent stay. Returns whether the
    /// read was applied.
    pub(crate) fn replace_by_read(&mut self, read: WholeRead, now_ms: u64) -> bool {
        let complete_to = read.complete_to;
        let is_outdated = self.has_full_list && complete_to < self.endpoints_version;
        let later = if is_outdated {
            let Some(later) = self.changes_after(complete_to, now_ms) else {
                // The known list is of a later version.
                return false;
            };
            self.endpoints_version = complete_to;
            later
        } else {
            Vec::new()
        };
        let known_to = self.endpoints_version;
        let is_comparable = self.has_full_list && complete_to.era() == known_to.era();
        let changes = if is_comparable {
            self.changes_by(&read, now_ms)
        } else {
            Vec::new()
        };
        // The newest row does not show removals after it. Only a read that leaves a known list
        // unchanged keeps the version of that list.
        let version = if is_comparable && changes.is_empty() {
            known_to
        } else {
            complete_to
        };
        let mut listed = Vec::with_capacity(read.rows.len());
        let mut unreadable = Vec::new();
        for row in read.rows {
            match row.change {
                EndpointChange::Listed(endpoint) => listed.push(endpoint),
                EndpointChange::Unreadable(name) => unreadable.push(name),
                EndpointChange::Gone(_) => {}
            }
        }
        self.replace_list(listed, version, now_ms);
        for name in &unreadable {
            self.endpoints.discard(name, now_ms);
        }
        if is_comparable {
            // Other hosts have the list up to `known_to` and need what led from there to here.
            self.changes_since = known_to;
            self.unseen = (known_to, complete_to);
            self.restate(changes, version);
        }
        self.list_source = if later.is_empty() {
            ListSource::Store
        } else {
            ListSource::Peer
        };
        self.is_from_store = true;
        self.complete_to = complete_to;
        self.apply_changes(later, now_ms);
        self.prune_health();
        true
    }

    /// What a later whole read changes in the list: entries that differ, and the removal of
    /// endpoints that it lacks. The store's row of a removal is not among those read. Versions of
    /// rows tell no change, since the store may count rewrites of the same entry.
    fn changes_by(&self, read: &WholeRead, now_ms: u64) -> Vec<EndpointChange> {
        if read.complete_to <= self.endpoints_version {
            return Vec::new();
        }
        let differing = read.rows.iter().filter(|row| {
            let own = self.own_entry(row.change.name(), now_ms);
            !own.lists_same(&row.change) || row.change.is_leaving() && !own.is_leaving()
        });
        let mut changes = Vec::from_iter(differing.map(|row| row.change.clone()));
        let names: HashSet<&EndpointId> = read.rows.iter().map(|row| row.change.name()).collect();
        let known = self.endpoints.listed().map(|member| &member.endpoint.name);
        let removed = known.filter(|name| !names.contains(name));
        changes.extend(removed.map(|name| EndpointChange::Gone(name.clone())));
        changes
    }

    /// Replaces the endpoint list with a full one of another host, as of a version. Where the
    /// store's answers to this host are of a later version, they hold instead.
    pub(crate) fn replace(
        &mut self,
        list: Vec<ListedEndpoint>,
        version: StoreVersion,
        now_ms: u64,
    ) {
        if version > self.endpoints_version && self.has_answers_of(version) {
            self.restate_against(list, version, now_ms);
            return;
        }
        self.replace_list(list, version, now_ms);
        self.is_from_store = false;
        self.list_source = ListSource::Peer;
        self.prune_health();
    }

    /// Applies changes that another host sent, oldest first. Where the store's answers to this
    /// host are of a later version, they hold instead. Returns whether any was new.
    pub(crate) fn apply_peer_changes(&mut self, rows: Vec<EndpointRow>, now_ms: u64) -> bool {
        let (known, later): (Vec<EndpointRow>, Vec<EndpointRow>) =
            { rows.into_iter() }.partition(|row| self.has_answers_of(row.version));
        let mut has_changed = self.restate_rows(known, now_ms);
        if self.apply_changes(later, now_ms) {
            self.list_source = ListSource::Peer;
            has_changed = true;
        }
        has_changed
    }

    /// Whether the list holds all that the store had at a version, by its answers to this host.
    fn has_answers_of(&self, version: StoreVersion) -> bool {
        self.is_from_store && version <= self.complete_to
    }

    /// Restates this host's entries of the endpoints in rows of another host. If all agree, the
    /// list takes the version of the newest row. Otherwise it takes that of the store's latest
    /// answer, so that the other host applies the restated entries. Returns whether any row was
    /// new.
    fn restate_rows(&mut self, mut rows: Vec<EndpointRow>, now_ms: u64) -> bool {
        let known_to = self.endpoints_version;
        rows.retain(|row| row.version > known_to);
        let Some(newest) = rows.iter().map(|row| row.version).max() else {
            return false;
        };
        // The latest row of each endpoint.
        let stated = rows.into_iter().map(|row| row.change);
        let stated = stated.map(|change| (change.name().clone(), change));
        let stated = BTreeMap::from_iter(stated);
        let own = stated.keys().map(|name| self.own_entry(name, now_ms));
        let own: Vec<EndpointChange> = own.collect();
        let agree = own
            .iter()
            .zip(stated.values())
            .all(|(a, b)| a.lists_same(b));
        self.restate(own, if agree { newest } else { self.complete_to });
        true
    }

    /// Restates the entries in which the whole list of another host, as of a version, differs.
    fn restate_against(&mut self, list: Vec<ListedEndpoint>, version: StoreVersion, now_ms: u64) {
        let listed = self.endpoints.listed();
        let listed = listed.map(|member| member.endpoint.name.clone());
        let mut differing = BTreeSet::from_iter(listed);
        for listed in list {
            let name = listed.endpoint.name.clone();
            let own = self.own_entry(&name, now_ms);
            if own.lists_same(&EndpointChange::Listed(listed)) {
                differing.remove(&name);
            } else {
                differing.insert(name);
            }
        }
        let own = differing.iter().map(|name| self.own_entry(name, now_ms));
        let own: Vec<EndpointChange> = own.collect();
        let has_same = own.is_empty();
        self.changes.clear();
        self.changes_since = version;
        self.unseen = (version, self.complete_to);
        self.restate(own, if has_same { version } else { self.complete_to });
    }

    /// Gives the list a later version, as of which it restates entries for other hosts.
    fn restate(&mut self, entries: Vec<EndpointChange>, version: StoreVersion) {
        self.endpoints_version = version;
        let rows = entries.into_iter();
        let rows = rows.map(|change| EndpointRow { version, change });
        self.changes.extend(rows);
        self.prune_changes();
    }

    /// An endpoint's entry as this host lists it.
    fn own_entry(&self, name: &EndpointId, now_ms: u64) -> EndpointChange {
        match self.endpoints.listed_endpoint(name) {
            Some(member) => EndpointChange::Listed(self.listed_endpoint(member, now_ms)),
            None => EndpointChange::Gone(name.clone()),
        }
    }

    fn listed_endpoint(&self, member: &PoolMember, now_ms: u64) -> ListedEndpoint {
        ListedEndpoint {
            endpoint: (*member.endpoint).clone(),
            cold_left_ms: self.cold.remaining_ms(member.hash.short(), now_ms),
        }
    }

    /// An entry restated as of the list's version, for a host with the same entries as of an
    /// earlier version. `None` if the list is empty.
    pub(crate) fn version_row(&self, now_ms: u64) -> Option<EndpointRow> {
        let member = self.endpoints.listed().next()?;
        Some(EndpointRow {
            version: self.endpoints_version,
            change: EndpointChange::Listed(self.listed_endpoint(member, now_ms)),
        })
    }

    /// Whether a full list was ever applied.
    pub(crate) fn has_full_list(&self) -> bool {
        self.has_full_list
    }

    fn replace_list(&mut self, list: Vec<ListedEndpoint>, version: StoreVersion, now_ms: u64) {
        self.record_listed_builds(now_ms);
        for listed in &list {
            self.record_cold_report(listed, now_ms);
        }
        if self.has_full_list && version.era() > self.endpoints_version.era() {
            // A store restored from a copy lacks recent endpoints until they register
            // again.
            self.store_recovered(now_ms, self.entry_delay_ms);
        }
        // A slow read may be older than what peers have sent.
        let is_older = version < self.endpoints_version;
        let endpoints = list.into_iter().map(|listed| {
            if is_older {
                self.endpoints.later_start(listed.endpoint)
            } else {
                listed.endpoint
            }
        });
        let endpoints = endpoints.collect();
        self.endpoints.replace(endpoints, now_ms);
        self.endpoints_version = self.endpoints_version.max(version);
        self.has_full_list = true;
        self.changes.clear();
        self.changes_since = self.endpoints_version;
        self.unseen = (self.endpoints_version, self.endpoints_version);
        self.record_builds(now_ms);
    }

    /// Applies list changes, oldest first, and skips known ones. Several may have the same
    /// version. Returns whether any was new.
    pub(crate) fn apply_changes(&mut self, rows: Vec<EndpointRow>, now_ms: u64) -> bool {
        let mut has_changed = false;
        self.record_listed_builds(now_ms);
        let known_to = self.endpoints_version;
        for row in rows {
            if row.version <= known_to {
                continue;
            }
            has_changed = true;
            self.endpoints_version = row.version;
            self.apply_change(&row.change, now_ms);
            self.changes.push_back(row);
        }
        self.prune_changes();
        if has_changed {
            self.prune_health();
        }
        has_changed
    }

    /// Drops the oldest changes beyond those that are retained for other hosts.
    fn prune_changes(&mut self) {
        let max_retained = if self.changes.len() > MIN_RETAINED_CHANGES {
            (self.endpoints.listed_count() / RETAINED_CHANGES_DIVISOR).max(MIN_RETAINED_CHANGES)
        } else {
            MIN_RETAINED_CHANGES
        };
        while self.changes.len() > max_retained {
            if let Some(oldest) = self.changes.pop_front() {
                self.changes_since = oldest.version;
            }
        }
    }

    /// Applies changes that the store sent, which are complete up to a version. Unlike those of
    /// other hosts, they also replace what another host sent before as of the same version, or
    /// without them. Returns whether any was new.
    pub(crate) fn apply_store_changes(
        &mut self,
        rows: Vec<EndpointRow>,
        complete_to: StoreVersion,
        now_ms: u64,
    ) -> bool {
        let known_to = self.endpoints_version;
        let (late, later): (Vec<EndpointRow>, Vec<EndpointRow>) =
            rows.into_iter().partition(|row| row.version <= known_to);
        let mut has_changed = false;
        for row in late {
            has_changed |= self.apply_late_change(row, now_ms);
        }
        has_changed |= self.apply_changes(later, now_ms);
        if self.is_from_store {
            self.complete_to = self.complete_to.max(complete_to);
            if complete_to >= self.endpoints_version {
                self.list_source = ListSource::Store;
            }
        }
        has_changed
    }

    /// Applies a change of a version that the list already has, unless its endpoint's entry is
    /// the same or newer. Returns whether it was new.
    fn apply_late_change(&mut self, row: EndpointRow, now_ms: u64) -> bool {
        if row.version <= self.changes_since {
            return false;
        }
        let name = row.change.name();
        let position = { self.changes.iter() }.rposition(|known| known.change.name() == name);
        if let Some(position) = position {
            let known = &self.changes[position];
            if known.version > row.version || known.states_same(&row) {
                return false;
            }
            if known.version == row.version {
                self.changes.remove(position);
            }
        }
        self.record_listed_builds(now_ms);
        self.apply_change(&row.change, now_ms);
        let position = self
            .changes
            .partition_point(|known| known.version < row.version);
        self.changes.insert(position, row);
        self.prune_health();
        true
    }

    fn apply_change(&mut self, change: &EndpointChange, now_ms: u64) {
        match change {
            EndpointChange::Listed(listed) => {
                self.record_cold_report(listed, now_ms);
                let endpoint = &listed.endpoint;
                // A later row of this batch may replace it.
                self.build_history
                    .record_listed(&endpoint.pool, &endpoint.build, now_ms);
                let builds = [&endpoint.build];
                self.rollouts
                    .record_listed_builds(&endpoint.pool, builds, now_ms);
                self.endpoints.upsert(endpoint.clone());
            }
            EndpointChange::Gone(name) => self.endpoints.remove(name, now_ms),
            EndpointChange::Unreadable(name) => self.endpoints.discard(name, now_ms),
        }
    }

    /// Counts changes of the list, also of entries as of the same version.
    pub(crate) fn list_revision(&self) -> u64 {
        self.endpoints.revision()
    }

    /// A digest of all that the list states, for hosts with lists of different versions.
    pub(crate) fn list_content(&mut self) -> u64 {
        let revision = self.list_revision();
        let known = self.content_digest.filter(|(of, _)| *of == revision);
        let digest = known.map_or_else(|| self.endpoints.content_digest(), |(_, digest)| digest);
        self.content_digest = Some((revision, digest));
        digest
    }

    /// What this host reports about its list.
    pub(crate) fn list_report(&mut self) -> ListReport {
        let revision = self.list_revision();
        let known = self.list_digest.filter(|(of, _)| *of == revision);
        let digest = known.map_or_else(|| self.endpoints.digest(), |(_, digest)| digest);
        self.list_digest = Some((revision, digest));
        ListReport {
            version: self.endpoints_version,
            digest,
            source: self.list_source,
        }
    }

    pub(crate) fn listed(&self, now_ms: u64) -> Vec<ListedEndpoint> {
        let listed = self.endpoints.listed();
        let listed = listed.map(|member| self.listed_endpoint(member, now_ms));
        listed.collect()
    }

    /// The changes after a version, to send to another host; `None` if some were dropped or not
    /// seen.
    pub(crate) fn changes_after(
        &self,
        version: StoreVersion,
        now_ms: u64,
    ) -> Option<Vec<EndpointRow>> {
        let (unseen_after, unseen_before) = self.unseen;
        let is_unseen = version > unseen_after && version < unseen_before;
        if version < self.changes_since || is_unseen {
            return None;
        }
        let newer = self.changes.iter().filter(|row| row.version > version);
        Some(newer.map(|row| self.refreshed(row, now_ms)).collect())
    }

    /// Updates a change's remaining cold time.
    fn refreshed(&self, row: &EndpointRow, now_ms: u64) -> EndpointRow {
        let mut row = row.clone();
        if let EndpointChange::Listed(listed) = &mut row.change {
            let short = listed.endpoint.start_hash().short();
            listed.cold_left_ms = self.cold.remaining_ms(short, now_ms);
        }
        row
    }

    /// Keeps endpoints whose entries lapsed during a store outage for `grace_ms`.
    pub(crate) fn store_recovered(&mut self, now_ms: u64, grace_ms: u64) {
        self.endpoints.keep_lapsed(true);
        self.lapsed_until_ms = Some(now_ms + grace_ms);
    }

    /// Drops endpoints whose entries lapsed and were not renewed in time.
    pub(crate) fn expire_lapsed(&mut self, now_ms: u64) {
        if self
            .lapsed_until_ms
            .is_some_and(|until_ms| now_ms >= until_ms)
        {
            self.lapsed_until_ms = None;
            self.endpoints.keep_lapsed(false);
        }
    }
}
