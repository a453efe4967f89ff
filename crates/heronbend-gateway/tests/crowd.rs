//! Rests between reads of texts.

use std::time::Duration;

use heronbend_gateway::batch::crowd::Crowd;

#[test]
fn few_texts_are_read_at_once_and_many_rest_within_bounds() {
    let crowd = Crowd::default();
    let mut readers: Vec<_> = (0..200).map(|_| crowd.enter()).collect();
    assert_eq!(crowd.rest(), None);
    readers.extend((0..1300).map(|_| crowd.enter()));
    assert_eq!(crowd.rest(), Some(Duration::from_millis(150)));
    readers.extend((0..5000).map(|_| crowd.enter()));
    assert_eq!(crowd.rest(), Some(Duration::from_millis(200)));
    readers.truncate(10);
    assert_eq!(crowd.rest(), None);
}
