//! Detects organisations that exceed their share of the requests on a host.

use std::collections::HashMap;

use chalkrock_core::OrganisationId;

/// Multiple of an equal share that an organisation may use.
const MAX_EQUAL_SHARES: usize = 2;
/// Number of requests that is always within a share.
const MIN_SHARE: usize = 4;

/// Requests in progress by organisation.
///
/// # Example
///
/// ```
/// use chalkrock_routing::Shares;
///
/// let mut shares = Shares::default();
/// (0..20).for_each(|_| shares.begin(&"hot".into()));
/// ["a", "b", "c"].map(|name| shares.begin(&name.into()));
/// assert!(shares.is_over(&"hot".into()));
/// assert!(!shares.is_over(&"a".into()));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Shares {
    /// Only organisations with requests in progress.
    by_organisation: HashMap<OrganisationId, usize>,
    total: usize,
}

impl Shares {
    /// Counts a request that begins.
    pub fn begin(&mut self, organisation: &OrganisationId) {
        *self
            .by_organisation
            .entry(organisation.clone())
            .or_default() += 1;
        self.total += 1;
    }

    /// Counts a request that ends.
    pub fn end(&mut self, organisation: &OrganisationId) {
        let Some(count) = self.by_organisation.get_mut(organisation) else {
            return;
        };
        *count -= 1;
        self.total -= 1;
        if *count == 0 {
            self.by_organisation.remove(organisation);
        }
    }

    /// Whether an organisation exceeds its share.
    pub fn is_over(&self, organisation: &OrganisationId) -> bool {
        let in_progress = self.by_organisation.get(organisation).copied();
        let in_progress = in_progress.unwrap_or_default();
        let organisations = self.by_organisation.len();
        in_progress > MIN_SHARE && in_progress * organisations > MAX_EQUAL_SHARES * self.total
    }
}
