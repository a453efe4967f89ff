//! Authentication of callers by API key.

use heronbend::access::Caller;
use heronbend::access::KeyHasher;
use http::header;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use thiserror::Error;

use crate::configuration::Configuration;
use crate::configuration::Route;

/// Scheme of API keys in the `Authorization` header.
const SCHEME: &str = "Bearer";

/// Why a call is not authenticated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum AuthError {
    /// No key was presented, or more than one.
    #[error("a key is required")]
    Missing,
    /// The key belongs to no tenant or was revoked.
    #[error("the key is unknown")]
    Unknown,
}

impl AuthError {
    /// Message for the caller.
    pub fn message(self) -> &'static str {
        match self {
            Self::Missing => "a key is required: Authorization: Bearer KEY",
            Self::Unknown => "the key is unknown",
        }
    }
}

/// Identifies the caller of a call that requires a key.
pub fn identify(
    configuration: &Configuration,
    headers: &HeaderMap,
    hasher: &KeyHasher,
) -> Result<Caller, AuthError> {
    let Some(keyring) = &configuration.access else {
        return Ok(Caller::AuthDisabled);
    };
    let key = presented_key(headers).ok_or(AuthError::Missing)?;
    let tenant = keyring.tenant_for_key(key, hasher).ok_or(AuthError::Unknown)?;
    Ok(Caller::Tenant(keyring.tenant(tenant).name.clone()))
}

/// Identifies the caller of a public call: the tenant if a valid key is presented, otherwise
/// anonymous.
pub fn identify_public(
    configuration: &Configuration,
    headers: &HeaderMap,
    hasher: &KeyHasher,
) -> Caller {
    identify(configuration, headers, hasher).unwrap_or(Caller::Anonymous)
}

/// Returns the presented key; `None` if there is none or more than one.
fn presented_key(headers: &HeaderMap) -> Option<&[u8]> {
    let mut values = headers.get_all(header::AUTHORIZATION).iter();
    let (value, None) = (values.next()?, values.next()) else {
        return None;
    };
    let (scheme, key) = value.as_bytes().split_at_checked(SCHEME.len())?;
    let key = key.strip_prefix(b" ")?.trim_ascii();
    (scheme.eq_ignore_ascii_case(SCHEME.as_bytes()) && !key.is_empty()).then_some(key)
}

/// Caller on whose behalf the items of a job are run.
pub fn job_caller(configuration: &Configuration, tenant: Option<&str>) -> Caller {
    match tenant {
        Some(tenant) => Caller::Tenant(tenant.into()),
        None if configuration.access.is_some() => Caller::Anonymous,
        None => Caller::AuthDisabled,
    }
}

/// Priority of a request, where 0 is the highest: that of the tenant if set, otherwise that of the
/// route.
pub fn priority(configuration: &Configuration, caller: &Caller, route: &Route) -> u8 {
    let tenant = caller.tenant().zip(configuration.access.as_ref());
    let tenant = tenant.and_then(|(name, keyring)| keyring.tenant_by_name(name));
    tenant.and_then(|tenant| tenant.priority).unwrap_or(route.priority)
}

/// Removes the API key and sets the tenant header to the identified tenant, whatever the caller
/// sent. Headers are unchanged if authentication is disabled.
pub fn set_tenant_header(headers: &mut HeaderMap, name: &HeaderName, caller: &Caller) {
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
