//! Delay between reads of texts, by the number of readers.

use std::time::Duration;

use heronbend_gateway::batch::read_pacing::ReadPacer;

#[test]
fn few_texts_are_read_at_once_and_many_rest_within_bounds() {
    let pacer = ReadPacer::default();
    let mut readers: Vec<_> = (0..200).map(|_| pacer.register()).collect();
    assert_eq!(pacer.delay(), None);
    readers.extend((0..1300).map(|_| pacer.register()));
    assert_eq!(pacer.delay(), Some(Duration::from_millis(150)));
    readers.extend((0..5000).map(|_| pacer.register()));
    assert_eq!(pacer.delay(), Some(Duration::from_millis(200)));
    readers.truncate(10);
    assert_eq!(pacer.delay(), None);
}
