use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;
use std::collections::BTreeMap;
use zeroize::Zeroizing;

use super::Caller;
use super::KeyHasher;
use super::Keyring;
use super::TenantConfig;

fn tenant_config(name: &str, keys: &[&str]) -> TenantConfig {
    let keys = keys.iter().map(|key| Zeroizing::new((*key).to_owned())).collect();
    TenantConfig { name: name.to_owned(), priority: None, keys }
}

fn tenant_name(keyring: &Keyring, hasher: &KeyHasher, key: &str) -> Option<String> {
    let index = keyring.tenant_for_key(key.as_bytes(), hasher)?;
    Some(keyring.tenant(index).name.to_string())
}

#[test]
fn a_key_identifies_its_tenant_and_an_unknown_key_none() {
    let hasher = KeyHasher::random();
    let tenants = vec![tenant_config("a", &["k1", "k2"]), tenant_config("b", &["k3"])];
    let (keyring, findings) = Keyring::new(tenants, &hasher);
    assert!(findings.is_empty());
    assert_eq!(tenant_name(&keyring, &hasher, "k2").as_deref(), Some("a"));
    assert_eq!(tenant_name(&keyring, &hasher, "k3").as_deref(), Some("b"));
    assert_eq!(tenant_name(&keyring, &hasher, "k"), None);
    assert_eq!(tenant_name(&keyring, &hasher, ""), None);
    assert_eq!(tenant_name(&keyring, &KeyHasher::random(), "k1"), None);
}

#[test]
fn all_findings_are_reported_and_contain_no_key() {
    let hasher = KeyHasher::random();
    let tenants = vec![
        tenant_config("a", &["secret-1", "secret-1"]),
        tenant_config("b", &[]),
        tenant_config("c", &["secret-1"]),
        tenant_config("a", &["secret-2"]),
    ];
    let (keyring, findings) = Keyring::new(tenants, &hasher);
    let reported: Vec<_> = findings.iter().map(|finding| finding.tenant.as_str()).collect();
    assert_eq!(reported, ["b", "c", "a"]);
    assert!(findings.iter().all(|finding| !finding.problem.contains("secret")));
    assert!(!format!("{keyring:?} {hasher:?}").contains("secret"));
    assert_eq!(tenant_name(&keyring, &hasher, "secret-1").as_deref(), Some("a"));
}

#[test]
fn a_resource_is_accessible_only_to_its_owner() {
    let tenant = |name: &str| Caller::Tenant(name.into());
    assert!(tenant("a").can_access(Some("a")));
    assert!(!tenant("a").can_access(Some("b")));
    assert!(!Caller::Anonymous.can_access(Some("a")));
    assert!(Caller::Anonymous.can_access(None) && tenant("a").can_access(None));
    assert!(Caller::AuthDisabled.can_access(Some("a")));
}

/// Compares random sequences of configurations that add, remove and reassign keys with a plain map.
#[test]
fn a_removed_key_is_rejected_until_a_later_configuration_adds_it() {
    let seed: u64 = rand::rng().random();
    println!("seed {seed}");
    let mut rng = SmallRng::seed_from_u64(seed);
    let hasher = KeyHasher::random();
    for _ in 0..40 {
        let mut owners: BTreeMap<u32, u32> = BTreeMap::new();
        for _version in 0..30 {
            let key = rng.random_range(0..12);
            if rng.random_bool(0.4) {
                owners.remove(&key);
            } else {
                owners.insert(key, rng.random_range(0..5));
            }
            let tenants = (0..5).map(|tenant| {
                let keys: Vec<String> = owners
                    .iter()
                    .filter(|(_, owner)| **owner == tenant)
                    .map(|(key, _)| format!("key-{key}"))
                    .collect();
                let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
                tenant_config(&format!("t{tenant}"), &keys)
            });
            let (keyring, _) = Keyring::new(tenants.collect(), &hasher);
            for key in 0..12 {
                let expected = owners.get(&key).map(|tenant| format!("t{tenant}"));
                assert_eq!(tenant_name(&keyring, &hasher, &format!("key-{key}")), expected);
            }
        }
    }
}
