//! Calls to the store on behalf of a peer, as they travel.

use musli::{Decode, Encode};

use crate::encoded_object::EncodedObject;
use crate::ports::{Listing, Object, Revision, StoreError};

/// A call to the store; contents are JSON texts.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum StoreCall {
    /// Lists objects of a kind.
    List {
        /// Kind.
        kind: String,
        /// Name that the page follows.
        after: Option<String>,
    },
    /// Reads an object.
    Get {
        /// Kind.
        kind: String,
        /// Name.
        name: String,
    },
    /// Makes an object.
    Create {
        /// Kind.
        kind: String,
        /// Name.
        name: String,
        /// Content.
        content: String,
    },
    /// Replaces an object's content.
    Replace {
        /// Kind.
        kind: String,
        /// Name.
        name: String,
        /// Content.
        content: String,
        /// Revision that the object must have, if any.
        revision: Option<Revision>,
    },
}

/// What became of a relayed call.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum StoreReply {
    /// The object as it is now.
    Object(EncodedObject),
    /// There is no such object.
    Missing,
    /// A page of objects.
    Page {
        /// The objects.
        objects: Vec<EncodedObject>,
        /// Whether more follow.
        more: bool,
        /// Revision at which it was read.
        at: Revision,
    },
    /// The condition did not hold.
    Conflict(Option<EncodedObject>),
    /// Nothing was done.
    NotDone(String),
    /// The outcome is unknown.
    Unknown(String),
}

impl StoreReply {
    pub(super) fn of_error(error: &StoreError) -> Self {
        match error {
            StoreError::Conflict(object) => Self::Conflict(object.as_deref().map(Into::into)),
            StoreError::NotFound => Self::Missing,
            error if error.is_not_done() => Self::NotDone(error.to_string()),
            error => Self::Unknown(error.to_string()),
        }
    }

    pub(super) fn of_object(result: &Result<Object, StoreError>) -> Self {
        match result {
            Ok(object) => Self::Object(object.into()),
            Err(error) => Self::of_error(error),
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
                StoreError::Malformed("a peer answered another call".to_owned())
            }
        }
    }

    /// The object that a call was to return.
    pub fn into_object(self) -> Result<Object, StoreError> {
        match self {
            Self::Object(object) => object.decode(),
            other => Err(other.into_error()),
        }
    }

    /// The page that a call was to return.
    pub fn into_listing(self) -> Result<Listing, StoreError> {
        match self {
            Self::Page { objects, more, at } => {
                let objects: Result<_, _> =
                    objects.into_iter().map(|object: EncodedObject| object.decode()).collect();
                Ok(Listing { objects: objects?, more, at })
            }
            other => Err(other.into_error()),
        }
    }
}
