//! On whose behalf a call is made, by the key that it presents.

use heronbend::access::Caller;
use heronbend::access::KeyHasher;
use http::header;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use thiserror::Error;

use crate::configuration::Configuration;
use crate::configuration::Route;

/// Scheme of the keys in the header for credentials.
const SCHEME: &str = "Bearer";

/// Why a call that needs a key is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Refusal {
    /// It presents no key, or more than one.
    #[error("a key is required")]
    Missing,
    /// No tenant holds the key, or none does any more.
    #[error("the key is unknown")]
    Unknown,
}

impl Refusal {
    /// What the caller is told.
    pub fn text(self) -> &'static str {
        match self {
            Self::Missing => "a key is required: Authorization: Bearer KEY",
            Self::Unknown => "the key is unknown",
        }
    }
}

/// Who makes a call that needs a key.
pub fn identify(
    configuration: &Configuration,
    headers: &HeaderMap,
    hasher: &KeyHasher,
) -> Result<Caller, Refusal> {
    let Some(keyring) = &configuration.access else {
        return Ok(Caller::AuthDisabled);
    };
    let key = presented_key(headers).ok_or(Refusal::Missing)?;
    let tenant = keyring.tenant_for_key(key, hasher).ok_or(Refusal::Unknown)?;
    Ok(Caller::Tenant(keyring.tenant(tenant).name.clone()))
}

/// Who makes a call that needs no key: a tenant, if it presents a key of one.
pub fn identify_public(
    configuration: &Configuration,
    headers: &HeaderMap,
    hasher: &KeyHasher,
) -> Caller {
    identify(configuration, headers, hasher).unwrap_or(Caller::Anonymous)
}

/// The key that a call presents; none where there are several.
fn presented_key(headers: &HeaderMap) -> Option<&[u8]> {
    let mut values = headers.get_all(header::AUTHORIZATION).iter();
    let (value, None) = (values.next()?, values.next()) else {
        return None;
    };
    let (scheme, key) = value.as_bytes().split_at_checked(SCHEME.len())?;
    let key = key.strip_prefix(b" ")?.trim_ascii();
    (scheme.eq_ignore_ascii_case(SCHEME.as_bytes()) && !key.is_empty()).then_some(key)
}

/// On whose behalf the items of a job run.
pub fn owner_of_job(configuration: &Configuration, tenant: Option<&str>) -> Caller {
    match tenant {
        Some(tenant) => Caller::Tenant(tenant.into()),
        None if configuration.access.is_some() => Caller::Anonymous,
        None => Caller::AuthDisabled,
    }
}

/// Rank of a caller's request, 0 the highest: its tenant's, where that has one, else its route's.
pub fn priority(configuration: &Configuration, caller: &Caller, route: &Route) -> u8 {
    let tenant = caller.tenant().zip(configuration.access.as_ref());
    let tenant = tenant.and_then(|(name, keyring)| keyring.tenant_by_name(name));
    tenant.and_then(|tenant| tenant.priority).unwrap_or(route.priority)
}

/// Makes headers fit to be passed on: no key leaves the service, and the tenant is the one that was
/// found, whatever the caller wrote. Where nobody is told apart, all stays as it came.
pub fn set_tenant(headers: &mut HeaderMap, name: &HeaderName, caller: &Caller) {
    if *caller == Caller::AuthDisabled {
        return;
    }
    headers.remove(header::AUTHORIZATION);
    headers.remove(name);
    let Some(tenant) = caller.tenant() else {
        return;
    };
    match HeaderValue::from_str(tenant) {
        Ok(value) => {
            headers.insert(name.clone(), value);
        }
        Err(_) => log::error!("event=tenant_not_a_header tenant={tenant:?}"),
    }
}
