//! Wire messages of calls to the store that are relayed by a peer.

use musli::{Decode, Encode};

use crate::encoded_object::EncodedObject;
use crate::ports::{Listing, Object, Revision, StoreError};

/// A call to the store. Contents are encoded as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum StoreCall {
    /// Lists objects of a kind.
    List {
        /// Kind of the object.
        kind: String,
        /// Name after which the page starts.
        after: Option<String>,
    },
    /// Reads an object.
    Get {
        /// Kind of the object.
        kind: String,
        /// Name of the object.
        name: String,
    },
    /// Creates an object.
    Create {
        /// Kind of the object.
        kind: String,
        /// Name of the object.
        name: String,
        /// Content as JSON.
        content: String,
    },
    /// Replaces an object's content.
    Replace {
        /// Kind of the object.
        kind: String,
        /// Name of the object.
        name: String,
        /// Content as JSON.
        content: String,
        /// Expected revision of the object; `None` for an unconditional write.
        revision: Option<Revision>,
    },
}

/// The result of a relayed call.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum StoreReply {
    /// The current object.
    Object(EncodedObject),
    /// The object does not exist.
    Missing,
    /// A page of objects.
    Page {
        /// The objects.
        objects: Vec<EncodedObject>,
        /// Whether more pages follow.
        more: bool,
        /// Revision at which the page was read.
        at: Revision,
        /// Last name on the page; `None` from a daemon of an earlier build.
        #[musli(default)]
        last_name: Option<String>,
    },
    /// The condition did not hold; with the current object, if known.
    Conflict(Option<EncodedObject>),
    /// The call had no effect, with the reason.
    NotDone(String),
    /// The outcome is unknown, with the reason.
    Unknown(String),
}

impl StoreReply {
    pub(super) fn from_error(error: &StoreError) -> Self {
        match error {
            StoreError::Conflict(object) => Self::Conflict(object.as_deref().map(Into::into)),
            StoreError::NotFound => Self::Missing,
            error if error.is_not_done() => Self::NotDone(error.to_string()),
            error => Self::Unknown(error.to_string()),
        }
    }

    pub(super) fn from_result(result: &Result<Object, StoreError>) -> Self {
        match result {
            Ok(object) => Self::Object(object.into()),
            Err(error) => Self::from_error(error),
        }
    }

    fn into_error(self) -> StoreError {
        match self {
            Self::Conflict(object) => {
                let object = object.and_then(|object| object.decode().ok());
                StoreError::Conflict(object.map(Box::new))
            }
            Self::Missing => StoreError::NotFound,
            Self::NotDone(reason) => StoreError::NotDone(reason),
            Self::Unknown(reason) => StoreError::Unknown(reason),
            Self::Object(_) | Self::Page { .. } => {
                StoreError::Malformed("the peer's reply does not match the call".to_owned())
            }
        }
    }

    /// Converts the reply to a call that returns an object.
    ///
    /// # Errors
    ///
    /// Fails if the call failed, or the reply is malformed.
    pub fn into_object(self) -> Result<Object, StoreError> {
        match self {
            Self::Object(object) => object.decode(),
            other => Err(other.into_error()),
        }
    }

    /// Converts the reply to a call that lists objects.
    ///
    /// # Errors
    ///
    /// Fails if the call failed, or the reply is malformed.
    pub fn into_listing(self) -> Result<Listing, StoreError> {
        match self {
            Self::Page { objects, more, at, last_name } => {
                let last_name =
                    last_name.or_else(|| objects.last().map(|object| object.name.clone()));
                let objects: Result<_, _> =
                    objects.into_iter().map(|object: EncodedObject| object.decode()).collect();
                Ok(Listing { objects: objects?, last_name, more, at })
            }
            other => Err(other.into_error()),
        }
    }
}
