//! Which organisations have more than their share in progress on a host.

use std::collections::HashMap;

use chalkrock_core::OrganisationId;

/// An organisation is over its share with this many times the equal one.
const EQUAL_SHARES: usize = 2;
/// So few requests are never over a share.
const ALWAYS_WITHIN: usize = 4;

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
    /// Organisations with no request in progress are not listed.
    by_organisation: HashMap<OrganisationId, usize>,
    total: usize,
}

impl Shares {
    /// A request of an organisation begins.
    pub fn begin(&mut self, organisation: &OrganisationId) {
        *self
            .by_organisation
            .entry(organisation.clone())
            .or_default() += 1;
        self.total += 1;
    }

    /// A request of an organisation ends.
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

    /// Whether an organisation has more than its share.
    pub fn is_over(&self, organisation: &OrganisationId) -> bool {
        let own = self.by_organisation.get(organisation).copied();
        let own = own.unwrap_or_default();
        let sharing = self.by_organisation.len();
        own > ALWAYS_WITHIN && own * sharing > EQUAL_SHARES * self.total
    }
}
