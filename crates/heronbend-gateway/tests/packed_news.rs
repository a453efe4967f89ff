//! News as it travels between daemons.

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

fn entries(count: u32) -> Update {
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
fn news_come_out_as_they_went_in() {
    let news = entries(40);
    assert_eq!(decode(&encode(&news).expect("packed")).expect("unpacked"), news);
}

#[test]
fn entries_of_servers_take_a_small_part_of_their_bytes() {
    let news = entries(1000);
    let contents = news.objects.iter().map(|object| object.decode().expect("an object").content);
    let plain: usize = contents.map(|content| content.to_string().len()).sum();
    let packed = encode(&news).expect("packed").len();
    println!("{plain} bytes of contents, {packed} bytes packed");
    assert!(packed * 5 < plain);
}

#[test]
fn what_is_cut_or_spoilt_is_an_error() {
    let packed = encode(&entries(20)).expect("packed");
    assert!(decode(&packed[..packed.len() / 2]).is_err());
    assert!(decode(&[]).is_err());
    let mut spoilt = packed;
    spoilt[0] ^= 0xff;
    assert!(decode(&spoilt).is_err());
}

#[test]
fn followers_that_ask_from_the_same_revision_share_one_text() {
    let texts = UpdateCache::default();
    let made = Cell::new(0);
    let get = |since, at| {
        let pack = || {
            made.set(made.get() + 1);
            Ok(vec![since as u8, at as u8])
        };
        let span = CacheKey { since, at, verification: Verification::Digest };
        texts.get("servers", span, pack).expect("a text").to_vec()
    };
    for _ in 0..100 {
        assert_eq!(get(3, 9), [3, 9]);
    }
    assert_eq!(made.get(), 1);
    assert_eq!(get(4, 9), [4, 9]);
    assert_eq!(get(4, 10), [4, 10]);
    assert_eq!(get(3, 9), [3, 9]);
    assert_eq!(made.get(), 4);
}
