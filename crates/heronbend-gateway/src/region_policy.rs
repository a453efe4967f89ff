//! In which regions requests may run, and their bodies be.

use std::collections::BTreeSet;

use heronbend::access::Caller;

use crate::configuration::Configuration;
use crate::configuration::Route;

/// The regions in which what a caller sends on a route may run; anywhere where nothing is said. Where
/// both the route and the tenant name some, only what both name is left, which may be none.
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

/// Whether something that is bound to `homes` may be in a region.
pub fn allows(allowed_regions: Option<&BTreeSet<String>>, region: &str) -> bool {
    allowed_regions.is_none_or(|regions| regions.contains(region))
}
