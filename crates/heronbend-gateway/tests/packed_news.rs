//! Encoding of updates sent between daemons.

use std::cell::Cell;
use std::rc::Rc;

use heronbend_gateway::compressed_update::decode;
use heronbend_gateway::compressed_update::encode;
use heronbend_gateway::compressed_update::CacheKey;
use heronbend_gateway::compressed_update::UpdateCache;
use heronbend_gateway::encoded_object::EncodedObject;
use heronbend_gateway::ports::Object;
use heronbend_gateway::replica::Update;
use heronbend_gateway::replica::Verification;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;
use serde_json::json;
use serde_json::Value;

fn registrations(count: u32) -> Update {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut object = |number: u32| {
        EncodedObject::from(&Object {
            name: format!("i-{:08x}{number}", rng.random::<u32>()),
            revision: u64::from(number) + 1,
            content: json!({
                "service": "writers", "address": format!("10.1.{}.{}:8080", number / 250, number % 250),
                "zone": "north-1", "slots": 6, "state": "ready", "sequence": number,
                "models": [{ "name": "bulletins", "version": 7 }, { "name": "floods", "version": 9 }],
            }),
            status: Value::Null,
        })
    };
    let objects = (0..count).map(|number| Rc::new(object(number))).collect();
    let removed = vec!["i-gone".to_owned()];
    Update { is_snapshot: false, objects, removed, at: u64::from(count), digest: None }
}

#[test]
fn updates_round_trip() {
    let update = registrations(40);
    assert_eq!(decode(&encode(&update).expect("encoded")).expect("decoded"), update);
}

#[test]
fn server_registrations_compress_well() {
    let update = registrations(1000);
    let contents = update.objects.iter().map(|object| object.decode().expect("an object").content);
    let uncompressed: usize = contents.map(|content| content.to_string().len()).sum();
    let encoded = encode(&update).expect("encoded").len();
    println!("{uncompressed} bytes of contents, {encoded} bytes encoded");
    assert!(encoded * 5 < uncompressed);
}

#[test]
fn truncated_or_corrupt_input_is_an_error() {
    let encoded = encode(&registrations(20)).expect("encoded");
    assert!(decode(&encoded[..encoded.len() / 2]).is_err());
    assert!(decode(&[]).is_err());
    let mut corrupt = encoded;
    corrupt[0] ^= 0xff;
    assert!(decode(&corrupt).is_err());
}

#[test]
fn followers_at_the_same_revision_share_one_encoding() {
    let cache = UpdateCache::default();
    let encodings = Cell::new(0);
    let get = |since, at| {
        let pack = || {
            encodings.set(encodings.get() + 1);
            Ok(vec![since as u8, at as u8])
        };
        let key = CacheKey { since, at, verification: Verification::Digest };
        cache.get("servers", key, pack).expect("an encoded update").to_vec()
    };
    for _ in 0..100 {
        assert_eq!(get(3, 9), [3, 9]);
    }
    assert_eq!(encodings.get(), 1);
    assert_eq!(get(4, 9), [4, 9]);
    assert_eq!(get(4, 10), [4, 10]);
    assert_eq!(get(3, 9), [3, 9]);
    assert_eq!(encodings.get(), 4);
}
