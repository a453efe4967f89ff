//! Reads a list of the store page by page.

use std::collections::BTreeSet;

use crate::ports::Listing;
use crate::ports::Object;
use crate::ports::ObjectStore;
use crate::ports::Revision;
use crate::ports::StoreError;

/// How a list ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct End {
    /// Revision of the first page. Pages are read at different revisions; a watch from the first
    /// one misses no change.
    pub at: Revision,
    /// Whether all objects were listed. Otherwise the store has more, but no page brings them.
    pub is_complete: bool,
}

/// Page after the current one.
enum Next {
    /// There is none.
    None,
    /// The page after this name.
    After(String),
    /// The store has more objects, but cannot continue after the last name.
    Stuck,
}

/// Passes each page of the objects whose names follow `after` to `handle_page`.
///
/// # Errors
///
/// Fails if a call or `handle_page` fails.
pub async fn read(
    store: &dyn ObjectStore,
    kind: &str,
    mut after: Option<String>,
    mut handle_page: impl FnMut(Vec<Object>) -> Result<(), StoreError>,
) -> Result<End, StoreError> {
    let mut continued_from: BTreeSet<String> = after.iter().cloned().collect();
    let mut first_at = None;
    loop {
        let page = store.list(kind, after.as_deref()).await?;
        let at = *first_at.get_or_insert(page.at);
        let next = next_page(&page, &mut continued_from);
        handle_page(page.objects)?;
        match next {
            Next::None => return Ok(End { at, is_complete: true }),
            Next::After(name) => after = Some(name),
            Next::Stuck => {
                log::warn!("event=list_incomplete kind={kind} after={after:?} at={at}");
                return Ok(End { at, is_complete: false });
            }
        }
    }
}

/// Returns what follows a page. Does not compare names, since the order of the store's names is its
/// own.
fn next_page(page: &Listing, continued_from: &mut BTreeSet<String>) -> Next {
    if !page.more {
        return Next::None;
    }
    match page.last_name.clone() {
        Some(name) if continued_from.insert(name.clone()) => Next::After(name),
        _ => Next::Stuck,
    }
}
