//! Which host schedules a pool, and when to ask it.
//!
//! Hosts rank each other for each pool by rendezvous hashing, so that all ask the same one
//! without agreement. One that does not answer is passed over for a while. Views may
//! differ: a host that is asked while another one answers it points to that one.

use chalkrock_core::rendezvous::{KeyHash, MemberHash, score};

/// Time without a reply after which an ask is repeated.
const RESEND_DELAY_MS: u64 = 30;
/// Unanswered asks in a row after which a scheduler counts as unreachable.
const MAX_UNANSWERED: u64 = 3;
/// Interval between asks while something waits or runs, so that leases are renewed.
const RENEWAL_INTERVAL_MS: u64 = 100;
/// How long an unreachable scheduler is passed over; doubled for each repetition.
const MIN_UNREACHABLE_MS: u64 = 2_000;
const MAX_UNREACHABLE_MS: u64 = 32_000;
/// Age of an ask at which its reply is not used: the scheduler counts a slot that was not
/// taken by then as free.
const MAX_ASK_AGE_MS: u64 = 250;
/// Age of the last reply up to which a scheduler counts as reachable.
const REACHABLE_MS: u64 = 300;
/// How long requests wait for a scheduler to be found.
const SEARCH_MS: u64 = 200;
/// Time without asks after which a search for a scheduler begins anew.
const MAX_SEARCH_PAUSE_MS: u64 = 1_000;
/// How long a redirect is followed.
const REDIRECT_MS: u64 = 2_000;
/// Most redirects in a row.
const MAX_REDIRECTS: u32 = 2;
/// Ranked hosts that are asked before the first is tried again.
pub const MAX_RANKED_SCHEDULERS: usize = 4;
/// Asks of which the send times are known.
const MAX_RECENT_ASKS: usize = 16;

/// A host that may schedule pools.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SchedulerCandidate<H> {
    /// The host.
    pub host: H,
    /// Hash of the host, the same on all hosts.
    pub hash: MemberHash,
    /// Its processor capacity, in thousandths of a core; 0 if unknown.
    pub capacity_millicores: u16,
}

/// The hosts that are asked to schedule a pool, in order. Hosts with less than half of the
/// largest capacity follow the others, since the scheduler works for the whole fleet. A
/// host of unknown capacity counts as large, since hosts learn of it at different times.
pub fn rank_schedulers<H: Clone>(pool: u32, candidates: &[SchedulerCandidate<H>]) -> Vec<H> {
    let largest = candidates.iter().map(|host| host.capacity_millicores).max();
    let largest = u32::from(largest.unwrap_or_default());
    let key = KeyHash(u64::from(pool));
    let mut ranked: Vec<(bool, f64, &H)> = candidates
        .iter()
        .map(|candidate| {
            let capacity = u32::from(candidate.capacity_millicores);
            let is_large = capacity == 0 || 2 * capacity >= largest;
            (is_large, score(key, candidate.hash, 1.0), &candidate.host)
        })
        .collect();
    ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| b.1.total_cmp(&a.1)));
    let first = ranked.into_iter().take(MAX_RANKED_SCHEDULERS);
    first.map(|(_, _, host)| host.clone()).collect()
}

#[derive(Clone, Debug)]
struct Unreachable<H> {
    host: H,
    until_ms: u64,
    for_ms: u64,
}

/// How a reply may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyUse {
    /// Its grants and rejections hold.
    Current,
    /// The ask is too old, or another host was asked since.
    Outdated,
}

/// One host's exchange of asks and replies for a pool.
#[derive(Clone, Debug)]
pub struct SchedulerLink<H> {
    /// The host that is asked.
    scheduler: Option<H>,
    /// Its incarnation, as of its last reply.
    epoch: u64,
    /// Sequence number of the last ask.
    sequence: u64,
    /// Sequence numbers and send times of the last asks to the current scheduler.
    recent: Vec<(u64, u64)>,
    /// The latest ask that was answered.
    answered_sequence: u64,
    /// When a reply last arrived.
    replied_at_ms: Option<u64>,
    /// When asks without a reply began.
    searching_since_ms: Option<u64>,
    /// When the last ask was sent, to any host.
    asked_at_ms: u64,
    unreachable: Vec<Unreachable<H>>,
    redirect: Option<(H, u64)>,
    redirects: u32,
    /// Whether something changed since the last ask.
    is_changed: bool,
}

impl<H> Default for SchedulerLink<H> {
    fn default() -> Self {
        Self {
            scheduler: None,
            epoch: 0,
            sequence: 0,
            recent: Vec::new(),
            answered_sequence: 0,
            replied_at_ms: None,
            searching_since_ms: None,
            asked_at_ms: 0,
            unreachable: Vec::new(),
            redirect: None,
            redirects: 0,
            is_changed: false,
        }
    }
}

/// An ask to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NextAsk<H> {
    /// The host to ask.
    pub scheduler: H,
    /// Sequence number of the ask.
    pub sequence: u64,
    /// Whether another host was asked before.
    pub is_new_scheduler: bool,
}

impl<H: Clone + PartialEq> SchedulerLink<H> {
    /// Records that requests or leases changed, so that an ask is due.
    pub fn record_change(&mut self) {
        self.is_changed = true;
    }

    /// The host that is asked, and its incarnation if it has replied.
    pub fn scheduler(&self) -> Option<(&H, u64)> {
        self.scheduler.as_ref().map(|host| (host, self.epoch))
    }

    /// Sequence number of the last ask.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Asks to the current scheduler since the last one that was answered.
    fn unanswered(&self) -> u64 {
        match &self.scheduler {
            Some(_) => self.sequence - self.answered_sequence,
            None => 0,
        }
    }

    /// When the next ask is due; `None` if there is nothing to ask for. `has_entries`:
    /// requests wait or leases are held.
    pub fn next_ask_ms(&self, has_entries: bool) -> Option<u64> {
        let Some(&(_, sent_at_ms)) = self.recent.last() else {
            return (self.is_changed || has_entries).then_some(0);
        };
        if self.unanswered() > 0 {
            // One without entries frees slots, which others wait for.
            let is_due = self.is_changed || has_entries || self.unanswered() < MAX_UNANSWERED;
            return is_due.then_some(sent_at_ms + RESEND_DELAY_MS);
        }
        if self.is_changed {
            return Some(0);
        }
        has_entries.then_some(sent_at_ms + RENEWAL_INTERVAL_MS)
    }

    /// Begins an ask. `ranked` are the hosts that may schedule the pool, in order. Returns
    /// `None` without any.
    pub fn begin_ask(&mut self, ranked: &[H], now_ms: u64) -> Option<NextAsk<H>> {
        if self.unanswered() >= MAX_UNANSWERED {
            self.mark_unreachable(now_ms);
        }
        let next = self.select(ranked, now_ms)?;
        let is_new_scheduler = self.scheduler.as_ref() != Some(&next);
        if is_new_scheduler {
            self.scheduler = Some(next.clone());
            self.epoch = 0;
            self.answered_sequence = self.sequence;
            self.replied_at_ms = None;
            self.recent.clear();
        }
        self.sequence += 1;
        if self.recent.len() >= MAX_RECENT_ASKS {
            self.recent.remove(0);
        }
        self.recent.push((self.sequence, now_ms));
        if now_ms.saturating_sub(self.asked_at_ms) > MAX_SEARCH_PAUSE_MS {
            self.searching_since_ms = None;
        }
        self.searching_since_ms.get_or_insert(now_ms);
        self.asked_at_ms = now_ms;
        self.is_changed = false;
        Some(NextAsk {
            scheduler: next,
            sequence: self.sequence,
            is_new_scheduler,
        })
    }

    fn select(&self, ranked: &[H], now_ms: u64) -> Option<H> {
        let is_passed_over = |host: &H| {
            let mut marks = self.unreachable.iter();
            marks.any(|mark| mark.host == *host && now_ms < mark.until_ms)
        };
        if let Some((host, until_ms)) = &self.redirect
            && now_ms < *until_ms
            && !is_passed_over(host)
        {
            return Some(host.clone());
        }
        if let Some(host) = ranked.iter().find(|host| !is_passed_over(host)) {
            return Some(host.clone());
        }
        // All were tried: begin again with the one whose mark lapses first.
        let lapse_ms = |host: &&H| {
            let mark = self.unreachable.iter().find(|mark| mark.host == **host);
            mark.map_or(0, |mark| mark.until_ms)
        };
        ranked.iter().min_by_key(lapse_ms).cloned()
    }

    fn mark_unreachable(&mut self, now_ms: u64) {
        let Some(host) = self.scheduler.take() else {
            return;
        };
        self.recent.clear();
        self.redirect = None;
        let known = self.unreachable.iter_mut().find(|mark| mark.host == host);
        if let Some(mark) = known {
            mark.for_ms = (2 * mark.for_ms).min(MAX_UNREACHABLE_MS);
            mark.until_ms = now_ms + mark.for_ms;
            return;
        }
        if self.unreachable.len() >= MAX_RANKED_SCHEDULERS {
            self.unreachable.remove(0);
        }
        self.unreachable.push(Unreachable {
            host,
            until_ms: now_ms + MIN_UNREACHABLE_MS,
            for_ms: MIN_UNREACHABLE_MS,
        });
    }

    /// Records a reply. `ask_sequence` is the latest ask that the scheduler applied.
    pub fn record_reply(
        &mut self,
        from: &H,
        epoch: u64,
        ask_sequence: u64,
        now_ms: u64,
    ) -> ReplyUse {
        if self.scheduler.as_ref() != Some(from) || epoch < self.epoch {
            return ReplyUse::Outdated;
        }
        let mut recent = self.recent.iter();
        let Some(&(_, sent_at_ms)) = recent.find(|(sequence, _)| *sequence == ask_sequence) else {
            return ReplyUse::Outdated;
        };
        self.epoch = epoch;
        self.replied_at_ms = Some(now_ms);
        self.searching_since_ms = None;
        self.redirects = 0;
        self.unreachable.retain(|mark| mark.host != *from);
        self.answered_sequence = self.answered_sequence.max(ask_sequence);
        if let Some((_, until_ms)) = &mut self.redirect {
            *until_ms = now_ms + REDIRECT_MS;
        }
        if now_ms.saturating_sub(sent_at_ms) > MAX_ASK_AGE_MS {
            return ReplyUse::Outdated;
        }
        ReplyUse::Current
    }

    /// Follows a redirect of the asked host to another one. Returns whether it does.
    pub fn record_redirect(&mut self, from: &H, to: H, ask_sequence: u64, now_ms: u64) -> bool {
        let is_expected =
            self.scheduler.as_ref() == Some(from) && ask_sequence == self.sequence && to != *from;
        let is_passed_over =
            { self.unreachable.iter() }.any(|mark| mark.host == to && now_ms < mark.until_ms);
        if !is_expected || is_passed_over || self.redirects >= MAX_REDIRECTS {
            return false;
        }
        self.redirects += 1;
        self.redirect = Some((to, now_ms + REDIRECT_MS));
        self.scheduler = None;
        self.recent.clear();
        self.is_changed = true;
        true
    }

    /// The scheduler that replied to this host a short time ago.
    pub fn reachable_scheduler(&self, now_ms: u64) -> Option<&H> {
        let replied_at_ms = self.replied_at_ms?;
        let is_recent = now_ms.saturating_sub(replied_at_ms) <= REACHABLE_MS;
        self.scheduler.as_ref().filter(|_| is_recent)
    }

    /// Whether asks have had no reply for so long that requests don't wait for one.
    pub fn is_lost(&self, now_ms: u64) -> bool {
        let is_searching = now_ms.saturating_sub(self.asked_at_ms) <= MAX_SEARCH_PAUSE_MS;
        let since_ms = self.searching_since_ms.filter(|_| is_searching);
        since_ms.is_some_and(|since_ms| now_ms.saturating_sub(since_ms) >= SEARCH_MS)
    }
}
