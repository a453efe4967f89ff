//! What tells requests apart, and what becomes of those that end servers.

use super::fingerprint::Malformed;
use super::fingerprint::Traits;
use super::*;

const REQUEST: Traits =
    Traits { method: "POST", host: "h", target: "/a?b=c", tenant: None, body: b"body" };

#[test]
fn a_fingerprint_depends_on_all_that_repeats_and_on_where_each_part_ends() {
    let known = Fingerprint::of(&REQUEST);
    assert_eq!(known, Fingerprint::of(&REQUEST.clone()));
    let others = [
        Traits { method: "PUT", ..REQUEST },
        Traits { host: "g", ..REQUEST },
        Traits { target: "/a?b=d", ..REQUEST },
        Traits { target: "/a?b=cb", body: b"ody", ..REQUEST },
        Traits { tenant: Some(""), ..REQUEST },
        Traits { tenant: Some("t"), ..REQUEST },
        Traits { body: b"", ..REQUEST },
    ];
    assert!(others.iter().all(|other| Fingerprint::of(other) != known));
}

#[test]
fn a_fingerprint_is_read_back_from_its_text_and_nothing_else_is() {
    let known = Fingerprint::of(&REQUEST);
    assert_eq!(known.to_string().parse(), Ok(known));
    for text in ["", "12", "é23456789012345678901234567890é", "g".repeat(32).as_str()] {
        assert_eq!(text.parse::<Fingerprint>(), Err(Malformed), "{text}");
    }
}
