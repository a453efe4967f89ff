//! Regions in which requests may run and their bodies may be stored.

use std::collections::BTreeSet;

use heronbend::access::Caller;

use crate::configuration::Configuration;
use crate::configuration::Route;

/// Returns the regions in which a caller's requests on a route may run; `None` allows all regions.
/// If both the route and the tenant are restricted, the result is the intersection, which may be
/// empty.
pub fn allowed_regions(
    configuration: &Configuration,
    route: &Route,
    caller: &Caller,
) -> Option<BTreeSet<String>> {
    let tenant = caller.tenant().and_then(|name| configuration.tenant_homes.get(name));
    match (&route.homes, tenant) {
        (None, None) => None,
        (Some(regions), None) | (None, Some(regions)) => Some(regions.clone()),
        (Some(route), Some(tenant)) => Some(route.intersection(tenant).cloned().collect()),
    }
}

/// Whether a restriction to `allowed_regions` permits a region.
pub fn allows(allowed_regions: Option<&BTreeSet<String>>, region: &str) -> bool {
    allowed_regions.is_none_or(|regions| regions.contains(region))
}
