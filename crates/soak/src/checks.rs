//! Checks over the journal of a play.
//!
//! Each check is a pure function that returns what breaks its rule. Where a check allows more
//! than its rule says on its own, its documentation names the rule that allows it.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::Serialize;

use crate::journal::{
    Arrival, DisturbanceKind, EndpointSpan, HostStop, Journal, ListedBuild, Try, TryEnd,
};

/// Bounds of the rules.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Largest share of a service's requests that a bad build may get.
    pub exposure_share: f64,
    /// Requests that a bad build may get beyond its share.
    pub exposure_slack: f64,
    /// Milliseconds from the last allowed bad response to the last request.
    pub rollback_ms: u64,
    /// Milliseconds from an acknowledged leaving to the last request.
    pub drain_ms: u64,
    /// Milliseconds from an acknowledged configuration to the last use of the one before.
    pub config_apply_ms: u64,
    /// Milliseconds after a store outage until the bounds apply again.
    pub contact_ms: u64,
    /// Largest ratio of retries to requests.
    pub retry_ratio: f64,
    /// Retries beyond the ratio in each window.
    pub retry_slack: f64,
    /// Window in which retries are counted, in milliseconds.
    pub retry_window_ms: u64,
    /// Largest load of an endpoint as a multiple of the mean load.
    pub cap_factor: f64,
    /// Milliseconds after the last disturbance until service is back.
    pub return_ms: u64,
}

/// Names of the checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Check {
    /// A request that may not be repeated runs at most once.
    Twice,
    /// A refused request has not run and never runs.
    Refused,
    /// A stream has each event once and in order, and is complete only with all of them.
    Order,
    /// A bad build gets few requests.
    Exposure,
    /// A request reaches only services that its route leads to.
    Route,
    /// A leaving endpoint gets no requests.
    Drain,
    /// Retries are few.
    Budget,
    /// Endpoints of a service are loaded alike in calm times.
    Limit,
    /// A superseded configuration ends soon.
    Config,
    /// No request is lost at the planned stop of an endpoint or a host.
    Lost,
    /// Service comes back after the last fault.
    Returns,
    /// A host serves while only others are disturbed.
    Serves,
    /// Requests with a part that crashes endpoints reach few of them.
    PoisonPart,
    /// No sound request is refused for the crashes of endpoints.
    Blame,
    /// Hosts list endpoints under the builds that these registered.
    Lists,
}

impl fmt::Display for Check {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Check::Twice => "TWICE",
            Check::Refused => "REFUSED",
            Check::Order => "ORDER",
            Check::Exposure => "EXPOSURE",
            Check::Route => "ROUTE",
            Check::Drain => "DRAIN",
            Check::Budget => "BUDGET",
            Check::Limit => "LIMIT",
            Check::Config => "CONFIG",
            Check::Lost => "LOST",
            Check::Returns => "RETURNS",
            Check::Serves => "SERVES",
            Check::PoisonPart => "POISONPART",
            Check::Blame => "BLAME",
            Check::Lists => "LISTS",
        })
    }
}

/// A break of a rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Finding {
    /// The check that found it.
    pub check: Check,
    /// When it happened.
    pub at_ms: u64,
    /// What happened, with the ids that the logs hold.
    pub text: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {} ms: {}", self.check, self.at_ms, self.text)
    }
}

fn finding(check: Check, at_ms: u64, text: String) -> Finding {
    Finding { check, at_ms, text }
}

/// Runs all checks.
pub fn check_all(journal: &Journal, bounds: &Bounds) -> Vec<Finding> {
    [
        check_twice(journal),
        check_refused(journal),
        check_order(journal),
        check_builds(journal),
        check_exposure(journal, bounds),
        check_route(journal),
        check_drain(journal, bounds),
        check_budget(journal, bounds),
        check_limit(journal, bounds),
        check_config(journal, bounds),
        check_lost(journal),
        check_returns(journal, bounds),
        check_serves(journal),
        check_poison_part(journal, bounds),
        check_blame(journal),
        check_lists(journal),
        check_continued(journal, bounds),
    ]
    .concat()
}

/// TWICE: a request that may not be repeated runs more than once, over all of its tries.
/// Callers repeat such a request only after a refusal, which states that it has not run.
pub fn check_twice(journal: &Journal) -> Vec<Finding> {
    let mut runs: BTreeMap<&str, Vec<&Arrival>> = BTreeMap::new();
    let counted = journal
        .arrivals
        .iter()
        .filter(|a| a.has_run && !a.may_repeat);
    for arrival in counted {
        runs.entry(&arrival.request).or_default().push(arrival);
    }
    let repeated = runs.values().filter(|runs| runs.len() > 1);
    let text = |runs: &Vec<&Arrival>| {
        let runs = runs
            .iter()
            .map(|run| format!("{} on {} at {} ms", run.try_id, run.endpoint, run.at_ms));
        runs.collect::<Vec<_>>().join(", ")
    };
    repeated
        .map(|runs| finding(Check::Twice, runs[1].at_ms, text(runs)))
        .collect()
}

/// REFUSED: 429, 503, 408 or 421 for a try that ran at any time.
pub fn check_refused(journal: &Journal) -> Vec<Finding> {
    const REFUSALS: [u16; 4] = [429, 503, 408, 421];
    let runs = journal.arrivals.iter().filter(|arrival| arrival.has_run);
    let runs: BTreeMap<&str, &Arrival> = runs.map(|run| (&*run.try_id, run)).collect();
    let refused = journal
        .tries
        .iter()
        .filter_map(|attempt| match attempt.end {
            TryEnd::Status(status) if REFUSALS.contains(&status) => Some((attempt, status)),
            _ => None,
        });
    let broken = refused.filter_map(|(attempt, status)| {
        let run = runs.get(&*attempt.id)?;
        let text = format!(
            "{} got {status} from host {} and ran on {} at {} ms",
            attempt.id, attempt.host, run.endpoint, run.at_ms
        );
        Some(finding(Check::Refused, attempt.ended_ms, text))
    });
    broken.collect()
}

/// ORDER: the events of a stream are not 1, 2, 3 and so on, or it ends as complete before its
/// last event. Where only the close of the connection ends it, a close after an event is not
/// known to be early.
pub fn check_order(journal: &Journal) -> Vec<Finding> {
    let broken = journal.tries.iter().filter_map(|attempt| {
        let TryEnd::Stream {
            events,
            is_complete,
            expected,
            after,
            is_close_delimited,
            ends_inside_event,
            ..
        } = &attempt.end
        else {
            return None;
        };
        let is_in_order = (after + 1..).zip(events).all(|(id, event)| id == *event);
        let is_early = !is_close_delimited && after + events.len() as u64 != *expected;
        let is_cut = *is_complete && (is_early || *ends_inside_event);
        let text = || {
            let last = events.last().copied().unwrap_or_default();
            format!(
                "{} from host {}: {} of {expected} events, the last is {last}, complete: {is_complete}",
                attempt.id,
                attempt.host,
                events.len(),
            )
        };
        (!is_in_order || is_cut).then(|| finding(Check::Order, attempt.ended_ms, text()))
    });
    broken.collect()
}

/// ORDER: a stream holds events of several builds, in one response or over the tries of a
/// caller that takes it up.
pub fn check_builds(journal: &Journal) -> Vec<Finding> {
    let mut streams: BTreeMap<&str, (BTreeSet<&str>, u64)> = BTreeMap::new();
    for attempt in &journal.tries {
        let TryEnd::Stream { builds, .. } = &attempt.end else {
            continue;
        };
        let first = attempt.resumes.as_ref().unwrap_or(&attempt.id);
        let (known, ended_ms) = streams.entry(first).or_default();
        known.extend(builds.iter().map(|build| &**build));
        *ended_ms = attempt.ended_ms.max(*ended_ms);
    }
    let mixed = streams
        .into_iter()
        .filter(|(_, (builds, _))| builds.len() > 1);
    let text = |first: &str, builds: BTreeSet<&str>| {
        let builds: Vec<&str> = builds.into_iter().collect();
        format!(
            "the stream of {first} holds events of {}",
            builds.join(", ")
        )
    };
    mixed
        .map(|(first, (builds, ended_ms))| finding(Check::Order, ended_ms, text(first, builds)))
        .collect()
}

/// EXPOSURE: a bad build gets more requests than its share and slack from the order to the
/// deadline, or a request later than `rollback_ms` after its 50th bad response since the store
/// was last stable. The rule counts only hosts in touch with the store, so requests of a host
/// count for neither part while its store is disturbed and `contact_ms` after it.
pub fn check_exposure(journal: &Journal, bounds: &Bounds) -> Vec<Finding> {
    const MAX_BAD_RESPONSES: usize = 50;
    let mut findings = Vec::new();
    for order in journal.orders.iter().filter(|order| order.is_bad) {
        let in_touch = |a: &&Arrival| !is_out_of_touch(journal, a.host, a.at_ms, bounds);
        let of_service = journal
            .arrivals
            .iter()
            .filter(|a| a.service == order.service);
        let counted = of_service.filter(|a| (order.at_ms..order.deadline_ms).contains(&a.at_ms));
        let all = counted.clone().count();
        let exposed = counted.filter(|a| a.build == order.build).filter(in_touch);
        let exposed = exposed.count();
        let allowed = bounds.exposure_share * all as f64 + bounds.exposure_slack;
        if exposed as f64 > allowed {
            let text = format!("{} got {exposed} of {all} requests", order.build);
            findings.push(finding(Check::Exposure, order.deadline_ms, text));
        }
        let stable_ms = stable_from_ms(journal, order.at_ms, order.deadline_ms);
        let of_build = journal.arrivals.iter().filter(|a| a.build == order.build);
        let bad = of_build.clone().filter(|a| a.is_bad);
        let mut bad: Vec<u64> = bad
            .filter_map(|a| a.ended_ms)
            .filter(|at| *at >= stable_ms)
            .collect();
        bad.sort_unstable();
        let Some(last_allowed_bad_ms) = bad.get(MAX_BAD_RESPONSES - 1) else {
            continue;
        };
        let until_ms = last_allowed_bad_ms + bounds.rollback_ms;
        let late = of_build.filter(in_touch).filter(|a| a.at_ms > until_ms);
        let late: Vec<&Arrival> = late.collect();
        if let Some(first) = late.first() {
            let text = format!(
                "{} requests for {} after {until_ms} ms, the first is {} from host {}",
                late.len(),
                order.build,
                first.try_id,
                first.host
            );
            findings.push(finding(Check::Exposure, first.at_ms, text));
        }
    }
    findings
}

/// ROUTE: a request reaches an endpoint of a service that no configuration so far leads its
/// route to.
pub fn check_route(journal: &Journal) -> Vec<Finding> {
    let broken = journal.arrivals.iter().filter(|arrival| {
        !journal.rules.iter().any(|rule| {
            rule.route == arrival.route
                && rule.service == arrival.service
                && rule.from_ms <= arrival.at_ms
        })
    });
    let text = |a: &Arrival| {
        format!(
            "{} of {} from host {} on {}",
            a.try_id, a.route, a.host, a.endpoint
        )
    };
    broken
        .map(|a| finding(Check::Route, a.at_ms, text(a)))
        .collect()
}

/// DRAIN: a request reaches an endpoint later than `drain_ms` after its leaving was
/// acknowledged. After a disturbance of the store the bound counts anew, as `contact_ms`
/// says; bytes that a disturbed link to the endpoint held are not counted.
pub fn check_drain(journal: &Journal, bounds: &Bounds) -> Vec<Finding> {
    let mut findings = Vec::new();
    for leaving in &journal.leavings {
        let until_ms = leaving.back_ms.unwrap_or(u64::MAX);
        let arrivals = journal.arrivals.iter().filter(|a| {
            a.endpoint == leaving.endpoint
                && a.at_ms < until_ms
                && a.at_ms > leaving.acknowledged_ms + bounds.drain_ms
        });
        let late = arrivals
            .filter(|a| !is_excused(journal, a, leaving.acknowledged_ms, bounds.drain_ms, bounds));
        for a in late {
            let text = format!(
                "{} from host {} on {}, whose leaving was acknowledged at {} ms",
                a.try_id, a.host, a.endpoint, leaving.acknowledged_ms
            );
            findings.push(finding(Check::Drain, a.at_ms, text));
        }
    }
    findings
}

/// CONFIG: a configuration still decides later than `config_apply_ms` after its successor was
/// acknowledged. The same is allowed as for DRAIN.
pub fn check_config(journal: &Journal, bounds: &Bounds) -> Vec<Finding> {
    let mut findings = Vec::new();
    for rule in &journal.rules {
        let Some(until_ms) = rule.until_ms else {
            continue;
        };
        let is_allowed_again = |a: &Arrival| {
            journal.rules.iter().any(|other| {
                other.route == rule.route
                    && other.service == rule.service
                    && other.from_ms >= until_ms
                    && other.from_ms <= a.at_ms
            })
        };
        let late = journal.arrivals.iter().filter(|a| {
            a.route == rule.route
                && a.service == rule.service
                && a.at_ms > until_ms + bounds.config_apply_ms
                && !is_allowed_again(a)
                && !is_excused(journal, a, until_ms, bounds.config_apply_ms, bounds)
        });
        for a in late {
            let text = format!(
                "{} of {} from host {} on {}, though the route left {} at {until_ms} ms",
                a.try_id, a.route, a.host, a.endpoint, rule.service
            );
            findings.push(finding(Check::Config, a.at_ms, text));
        }
    }
    findings
}

/// BUDGET: in a window, the arrivals of tries beyond their first exceed the ratio of the tries
/// and the slack. Counted for each service.
pub fn check_budget(journal: &Journal, bounds: &Bounds) -> Vec<Finding> {
    let mut arrivals: Vec<&Arrival> = journal.arrivals.iter().collect();
    arrivals.sort_by_key(|a| a.at_ms);
    let services: BTreeSet<&str> = arrivals.iter().map(|a| &*a.service).collect();
    let mut seen = BTreeSet::new();
    let events: Vec<(&Arrival, bool)> = arrivals
        .into_iter()
        .map(|a| (a, !seen.insert(&*a.try_id)))
        .collect();
    let mut findings = Vec::new();
    for service in services {
        let of_service = events.iter().filter(|(a, _)| &*a.service == service);
        let of_service: Vec<(u64, bool)> = of_service.map(|(a, retry)| (a.at_ms, *retry)).collect();
        let mut from = 0;
        let (mut requests, mut retries) = (0, 0);
        for (at_ms, is_retry) in &of_service {
            *if *is_retry {
                &mut retries
            } else {
                &mut requests
            } += 1;
            while of_service[from].0 + bounds.retry_window_ms <= *at_ms {
                *if of_service[from].1 {
                    &mut retries
                } else {
                    &mut requests
                } -= 1;
                from += 1;
            }
            let allowed = bounds.retry_ratio * f64::from(requests) + bounds.retry_slack;
            if f64::from(retries) > allowed {
                let text = format!("{retries} retries beside {requests} requests for {service}");
                findings.push(finding(Check::Budget, *at_ms, text));
                break;
            }
        }
    }
    findings
}

/// LIMIT: in five calm seconds, more than 3 in 100 requests reach an endpoint with more than
/// `cap_factor` times the mean load of its service's ready endpoints, plus 3. Calm are seconds
/// in which nothing is disturbed or rolled out, from three seconds after that.
pub fn check_limit(journal: &Journal, bounds: &Bounds) -> Vec<Finding> {
    const WINDOW_MS: u64 = 5_000;
    const SETTLE_MS: u64 = 3_000;
    const ALLOWED_SHARE: f64 = 0.03;
    const LOAD_SLACK: f64 = 3.0;
    let is_calm = |from_ms: u64| {
        journal
            .disturbances
            .iter()
            .all(|d| from_ms + WINDOW_MS <= d.from_ms || d.to_ms + SETTLE_MS <= from_ms)
    };
    let services: BTreeSet<&str> = journal.ready.iter().map(|span| &*span.service).collect();
    let mut findings = Vec::new();
    for service in services {
        let runs: Vec<&Arrival> = journal
            .arrivals
            .iter()
            .filter(|a| &*a.service == service && a.has_run)
            .collect();
        let spans: Vec<&EndpointSpan> = journal
            .ready
            .iter()
            .filter(|span| &*span.service == service)
            .collect();
        let is_over = |arrival: &Arrival| {
            let at_ms = arrival.at_ms;
            let in_progress = runs
                .iter()
                .filter(|a| a.at_ms <= at_ms && a.ended_ms.is_none_or(|end| end > at_ms));
            let (mut load, mut total) = (0.0, 0.0);
            for run in in_progress {
                total += 1.0;
                load += if run.endpoint == arrival.endpoint {
                    1.0
                } else {
                    0.0
                };
            }
            let ready = spans
                .iter()
                .filter(|span| span.from_ms <= at_ms && span.to_ms.is_none_or(|to| to > at_ms));
            let mean = total / (ready.count().max(1) as f64);
            load > bounds.cap_factor * mean + LOAD_SLACK
        };
        let (mut from_ms, end_ms) = journal.load_ms;
        while from_ms + WINDOW_MS <= end_ms {
            let window = runs
                .iter()
                .filter(|a| (from_ms..from_ms + WINDOW_MS).contains(&a.at_ms));
            let window: Vec<&&Arrival> = window.collect();
            let over = if is_calm(from_ms) {
                window.iter().filter(|a| is_over(a)).count()
            } else {
                0
            };
            if over as f64 > ALLOWED_SHARE * window.len() as f64 {
                let text = format!(
                    "{over} of {} requests for {service} over the load limit",
                    window.len()
                );
                findings.push(finding(Check::Limit, from_ms, text));
            }
            from_ms += 1_000;
        }
    }
    findings
}

/// LOST: a request is still in progress at an endpoint that stops because the fleet reported
/// that its rollout is done; or a try at a host ends without a whole response while the host
/// stops gracefully. Stops beside other disturbances are left out, as the rule is about
/// planned work, and so are tries through a proxy, which may not have reached the host.
pub fn check_lost(journal: &Journal) -> Vec<Finding> {
    const BEFORE_MS: u64 = 5_000;
    let at_endpoints = journal.arrivals.iter().filter(|a| a.was_stopped).map(|a| {
        let text = format!(
            "{} from host {} ran on {} of build {} when it stopped",
            a.try_id, a.host, a.endpoint, a.build
        );
        finding(Check::Lost, a.ended_ms.unwrap_or(a.at_ms), text)
    });
    let is_alone = |stop: &&HostStop| {
        journal.disturbances.iter().all(|d| {
            let is_own = match d.kind {
                DisturbanceKind::Host(host) => host == stop.host,
                DisturbanceKind::Other => true,
                _ => false,
            };
            is_own || d.to_ms + BEFORE_MS < stop.from_ms || stop.to_ms < d.from_ms
        })
    };
    let stops = journal.stops.iter().filter(is_alone);
    let at_hosts = stops.flat_map(|stop| {
        let ended = journal.tries.iter().filter(|attempt| {
            attempt.is_direct
                && attempt.host == stop.host
                && (stop.from_ms..=stop.to_ms).contains(&attempt.ended_ms)
        });
        let lost = ended.filter(|attempt| match attempt.end {
            TryEnd::Lost => true,
            TryEnd::Stream {
                is_complete,
                has_left,
                ..
            } => !is_complete && !has_left,
            TryEnd::Status(_) | TryEnd::NotSent => false,
        });
        lost.map(|attempt| {
            let text = format!(
                "{} of {}, sent at {} ms, while host {} stopped from {} ms on",
                attempt.id, attempt.route, attempt.sent_ms, stop.host, stop.from_ms
            );
            finding(Check::Lost, attempt.ended_ms, text)
        })
    });
    at_endpoints.chain(at_hosts).collect()
}

/// RETURNS: from `return_ms` after the last disturbance on, fewer than nine in ten tries of a
/// route, or of a host, end well.
pub fn check_returns(journal: &Journal, bounds: &Bounds) -> Vec<Finding> {
    const MIN_SHARE: f64 = 0.9;
    const MIN_TRIES: usize = 10;
    let from_ms = journal.calm_from_ms() + bounds.return_ms;
    let mut groups: BTreeMap<String, (usize, usize)> = BTreeMap::new();
    for attempt in journal
        .tries
        .iter()
        .filter(|attempt| attempt.sent_ms >= from_ms)
    {
        let is_served = is_served(&attempt.end);
        for group in [
            format!("route {}", attempt.route),
            format!("host {}", attempt.host),
        ] {
            let (served, all) = groups.entry(group).or_default();
            *all += 1;
            *served += usize::from(is_served);
        }
    }
    if groups.values().map(|(_, all)| all).sum::<usize>() < MIN_TRIES {
        let text = "no callers after the last disturbance".to_owned();
        return vec![finding(Check::Returns, from_ms, text)];
    }
    let broken = groups.into_iter().filter(|(_, (served, all))| {
        *all >= MIN_TRIES && (*served as f64) < MIN_SHARE * *all as f64
    });
    let text = |group, served, all| format!("{served} of {all} tries of {group} were served");
    broken
        .map(|(group, (served, all))| finding(Check::Returns, from_ms, text(group, served, all)))
        .collect()
}

/// SERVES: a host serves none of at least 8 tries that ended within half a second, though
/// nothing but other hosts was disturbed in the three seconds before. Any host may be lost at
/// any time, and a request that can be served is.
pub fn check_serves(journal: &Journal) -> Vec<Finding> {
    const WINDOW_MS: u64 = 500;
    const BEFORE_MS: u64 = 3_000;
    const MIN_TRIES: usize = 8;
    let concerns = |kind: &DisturbanceKind, host: usize| match kind {
        DisturbanceKind::StoreOfHost(other)
        | DisturbanceKind::Host(other)
        | DisturbanceKind::CallerLink(other) => *other == host,
        DisturbanceKind::Store
        | DisturbanceKind::Endpoint(_)
        | DisturbanceKind::EndpointLink(_) => true,
        DisturbanceKind::Other => false,
    };
    let mut windows: BTreeMap<(usize, u64), (usize, usize)> = BTreeMap::new();
    for attempt in &journal.tries {
        let window = attempt.ended_ms / WINDOW_MS * WINDOW_MS;
        let (served, all) = windows.entry((attempt.host, window)).or_default();
        *all += 1;
        *served += usize::from(is_served(&attempt.end));
    }
    let refused = windows
        .into_iter()
        .filter(|((host, from_ms), (served, all))| {
            let is_disturbed = journal.disturbances.iter().any(|d| {
                concerns(&d.kind, *host)
                    && d.from_ms <= from_ms + WINDOW_MS
                    && *from_ms <= d.to_ms + BEFORE_MS
            });
            *served == 0 && *all >= MIN_TRIES && !is_disturbed
        });
    let text = |host, all| format!("host {host} served none of {all} tries within {WINDOW_MS} ms");
    refused
        .map(|((host, from_ms), (_, all))| finding(Check::Serves, from_ms, text(host, all)))
        .collect()
}

/// Whether a try ended with a whole, good response.
/// BUDGET: more than three requests with a part that crashes endpoints reach these, sent by
/// hosts in touch later than `contact_ms` after the fifth crash, or the last if there are fewer.
pub fn check_poison_part(journal: &Journal, bounds: &Bounds) -> Vec<Finding> {
    const BOUNDED_CRASHES: usize = 5;
    const MAX_LATE: usize = 3;
    let mut crashes_ms = journal.part_crashes_ms.clone();
    crashes_ms.sort_unstable();
    crashes_ms.truncate(BOUNDED_CRASHES);
    let Some(crashed_ms) = crashes_ms.last() else {
        return Vec::new();
    };
    let until_ms = crashed_ms + bounds.contact_ms;
    let late = journal.arrivals.iter().filter(|a| {
        a.has_poison_part
            && a.at_ms > until_ms
            && !is_out_of_touch(journal, a.host, a.at_ms, bounds)
    });
    let late: Vec<&Arrival> = late.collect();
    if late.len() <= MAX_LATE {
        return Vec::new();
    }
    let text = format!(
        "{} requests with the part after {until_ms} ms, {} crashes in all, the first is {} from host {}",
        late.len(),
        journal.part_crashes_ms.len(),
        late[0].try_id,
        late[0].host
    );
    vec![finding(Check::PoisonPart, late[0].at_ms, text)]
}

/// BLAME: a sound request is refused because endpoints crashed. Requests with a poison part are
/// not among the tries.
pub fn check_blame(journal: &Journal) -> Vec<Finding> {
    let blamed = journal.tries.iter().filter(|attempt| attempt.is_blamed);
    let text = |attempt: &Try| format!("{} of {}", attempt.id, attempt.route);
    blamed
        .map(|attempt| finding(Check::Blame, attempt.ended_ms, text(attempt)))
        .collect()
}

fn is_served(end: &TryEnd) -> bool {
    match end {
        TryEnd::Status(status) => (200..300).contains(status),
        TryEnd::Stream {
            is_complete,
            has_left,
            ..
        } => *is_complete || *has_left,
        TryEnd::NotSent | TryEnd::Lost => false,
    }
}

/// Whether a host's store is disturbed, or was within `contact_ms`.
fn is_out_of_touch(journal: &Journal, host: usize, at_ms: u64, bounds: &Bounds) -> bool {
    journal.disturbances.iter().any(|d| {
        let affects_host = match d.kind {
            DisturbanceKind::Store => true,
            DisturbanceKind::StoreOfHost(other) | DisturbanceKind::Host(other) => other == host,
            _ => false,
        };
        affects_host && (d.from_ms..=d.to_ms + bounds.contact_ms).contains(&at_ms)
    })
}

/// Returns when the store was last disturbed between two times, or the first of them.
fn stable_from_ms(journal: &Journal, from_ms: u64, to_ms: u64) -> u64 {
    let outages = journal
        .disturbances
        .iter()
        .filter(|d| d.kind == DisturbanceKind::Store && d.from_ms < to_ms && d.to_ms > from_ms);
    outages
        .map(|d| d.to_ms)
        .max()
        .unwrap_or(from_ms)
        .max(from_ms)
}

/// Whether an arrival later than `bound_ms` after `since_ms` is allowed: the whole store was
/// disturbed meanwhile and has been well for less than `contact_ms` and the bound, or a
/// disturbed link held the request.
fn is_excused(
    journal: &Journal,
    a: &Arrival,
    since_ms: u64,
    bound_ms: u64,
    bounds: &Bounds,
) -> bool {
    const LINK_MARGIN_MS: u64 = 500;
    journal.disturbances.iter().any(|d| match &d.kind {
        DisturbanceKind::Store => {
            d.from_ms <= a.at_ms
                && d.to_ms >= since_ms
                && a.at_ms <= d.to_ms + bounds.contact_ms + bound_ms
        }
        DisturbanceKind::EndpointLink(endpoint) => {
            *endpoint == a.endpoint && (d.from_ms..=d.to_ms + LINK_MARGIN_MS).contains(&a.at_ms)
        }
        _ => false,
    })
}

/// LOST: of 12 or more streams that callers take up at hosts in touch, while two endpoints of
/// their build serve, the share that goes on is under half of the share of new streams that begin.
pub fn check_continued(journal: &Journal, bounds: &Bounds) -> Vec<Finding> {
    const MIN_TAKE_UPS: usize = 12;
    const MIN_ENDPOINTS: usize = 2;
    const MIN_RATIO: f64 = 0.5;
    let mut build_of: BTreeMap<&str, &str> = BTreeMap::new();
    for attempt in &journal.tries {
        if let (None, TryEnd::Stream { builds, .. }) = (&attempt.resumes, &attempt.end)
            && let [build] = &builds[..]
        {
            build_of.insert(&attempt.id, build);
        }
    }
    let endpoint_builds: BTreeMap<&str, &str> = { journal.arrivals.iter() }
        .map(|arrival| (&*arrival.endpoint, &*arrival.build))
        .collect();
    let serving = |build: &str, attempt: &Try| {
        let spans = journal.ready.iter().filter(|span| {
            endpoint_builds.get(&*span.endpoint) == Some(&build)
                && span.from_ms <= attempt.sent_ms
                && span.to_ms.is_none_or(|to_ms| to_ms >= attempt.ended_ms)
        });
        spans.count()
    };
    let in_touch = |attempt: &&Try| {
        !is_out_of_touch(journal, attempt.host, attempt.sent_ms, bounds)
            && !is_out_of_touch(journal, attempt.host, attempt.ended_ms, bounds)
    };
    let begins = |attempt: &&Try| matches!(attempt.end, TryEnd::Stream { .. });
    let ratio = |tries: &[&Try]| {
        let begun = tries.iter().copied().filter(begins).count();
        begun as f64 / tries.len().max(1) as f64
    };
    let taken_up: Vec<&Try> = { journal.tries.iter() }
        .filter(in_touch)
        .filter(|attempt| {
            let first = attempt.resumes.as_ref();
            let build = first.and_then(|first| build_of.get(&**first));
            build.is_some_and(|build| serving(build, attempt) >= MIN_ENDPOINTS)
        })
        .collect();
    let routes: BTreeSet<&str> = taken_up.iter().map(|attempt| &*attempt.route).collect();
    let new: Vec<&Try> = { journal.tries.iter() }
        .filter(in_touch)
        .filter(|attempt| attempt.resumes.is_none() && routes.contains(&*attempt.route))
        .collect();
    let (went_on, began) = (ratio(&taken_up), ratio(&new));
    let is_broken = taken_up.len() >= MIN_TAKE_UPS && went_on < MIN_RATIO * began;
    let text = || {
        format!(
            "of {} streams that were taken up {:.2} went on, of {} new ones {:.2} began",
            taken_up.len(),
            went_on,
            new.len(),
            began
        )
    };
    is_broken
        .then(|| finding(Check::Lost, journal.load_ms.1, text()))
        .into_iter()
        .collect()
}

/// LISTS: a host sends a request to an endpoint that it lists under another build than the
/// endpoint registered.
pub fn check_lists(journal: &Journal) -> Vec<Finding> {
    let listed = journal.listed_builds.iter();
    let wrong = listed.filter(|entry| entry.listed.as_ref() != Some(&entry.registered));
    let text = |entry: &ListedBuild| {
        format!(
            "host {} lists {} under {} instead of {}",
            entry.host,
            entry.endpoint,
            entry.listed.as_deref().unwrap_or("no build"),
            entry.registered
        )
    };
    wrong
        .map(|entry| finding(Check::Lists, journal.load_ms.1, text(entry)))
        .collect()
}
