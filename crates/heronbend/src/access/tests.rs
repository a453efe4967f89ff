use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;
use std::collections::BTreeMap;
use zeroize::Zeroizing;

use super::Caller;
use super::KeyHasher;
use super::Keyring;
use super::Registration;

fn registration(name: &str, keys: &[&str]) -> Registration {
    let keys = keys.iter().map(|key| Zeroizing::new((*key).to_owned())).collect();
    Registration { name: name.to_owned(), priority: None, keys }
}

fn holder(keyring: &Keyring, hasher: &KeyHasher, key: &str) -> Option<String> {
    let place = keyring.holder(key.as_bytes(), hasher)?;
    Some(keyring.tenant(place).name.to_string())
}

#[test]
fn a_key_leads_to_its_tenant_and_to_nobody_when_it_is_unknown() {
    let hasher = KeyHasher::random();
    let tenants = vec![registration("a", &["k1", "k2"]), registration("b", &["k3"])];
    let (keyring, findings) = Keyring::new(tenants, &hasher);
    assert!(findings.is_empty());
    assert_eq!(holder(&keyring, &hasher, "k2").as_deref(), Some("a"));
    assert_eq!(holder(&keyring, &hasher, "k3").as_deref(), Some("b"));
    assert_eq!(holder(&keyring, &hasher, "k"), None);
    assert_eq!(holder(&keyring, &hasher, ""), None);
    assert_eq!(holder(&keyring, &KeyHasher::random(), "k1"), None);
}

#[test]
fn all_findings_are_told_at_once_and_none_holds_a_key() {
    let hasher = KeyHasher::random();
    let tenants = vec![
        registration("a", &["secret-1", "secret-1"]),
        registration("b", &[]),
        registration("c", &["secret-1"]),
        registration("a", &["secret-2"]),
    ];
    let (keyring, findings) = Keyring::new(tenants, &hasher);
    let told: Vec<_> = findings.iter().map(|finding| finding.tenant.as_str()).collect();
    assert_eq!(told, ["b", "c", "a"]);
    assert!(findings.iter().all(|finding| !finding.problem.contains("secret")));
    assert!(!format!("{keyring:?} {hasher:?}").contains("secret"));
    assert_eq!(holder(&keyring, &hasher, "secret-1").as_deref(), Some("a"));
}

#[test]
fn what_a_tenant_owns_is_seen_by_that_tenant_alone() {
    let tenant = |name: &str| Caller::Tenant(name.into());
    assert!(tenant("a").may_see(Some("a")));
    assert!(!tenant("a").may_see(Some("b")));
    assert!(!Caller::Public.may_see(Some("a")));
    assert!(Caller::Public.may_see(None) && tenant("a").may_see(None));
    assert!(Caller::Anyone.may_see(Some("a")));
}

/// Random sequences of versions that add keys, take them away and pass them on, against a plain
/// table of who holds what.
#[test]
fn a_key_that_was_taken_away_leads_nowhere_until_a_later_version_brings_it_back() {
    let seed: u64 = rand::rng().random();
    println!("seed {seed}");
    let mut rng = SmallRng::seed_from_u64(seed);
    let hasher = KeyHasher::random();
    for _ in 0..40 {
        let mut held: BTreeMap<u32, u32> = BTreeMap::new();
        for _version in 0..30 {
            let key = rng.random_range(0..12);
            if rng.random_bool(0.4) {
                held.remove(&key);
            } else {
                held.insert(key, rng.random_range(0..5));
            }
            let tenants = (0..5).map(|tenant| {
                let keys: Vec<String> = held
                    .iter()
                    .filter(|(_, holder)| **holder == tenant)
                    .map(|(key, _)| format!("key-{key}"))
                    .collect();
                let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
                registration(&format!("t{tenant}"), &keys)
            });
            let (keyring, _) = Keyring::new(tenants.collect(), &hasher);
            for key in 0..12 {
                let expected = held.get(&key).map(|tenant| format!("t{tenant}"));
                assert_eq!(holder(&keyring, &hasher, &format!("key-{key}")), expected);
            }
        }
    }
}
