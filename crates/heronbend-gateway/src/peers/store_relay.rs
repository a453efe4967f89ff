//! Calls to the store on behalf of a peer that cannot reach it.
//!
//! The platform may refuse or drop single machines while it serves others. A daemon whose own way
//! to the store is lost asks a peer, which makes the call itself or says at once that it cannot.

use super::relayed::StoreCall;
use super::relayed::StoreReply;
use crate::gateway::Gateway;
use crate::ports::Condition;

/// Makes a call for a peer, by this daemon's own way to the store alone.
pub async fn answer(gateway: &Gateway, call: StoreCall) -> StoreReply {
    if !gateway.store.is_reached() {
        return StoreReply::NotDone("the store is out of reach here too".to_owned());
    }
    gateway.metrics.record_store_call("relay");
    let store = gateway.store.direct();
    match call {
        StoreCall::List { kind, after } => match store.list(&kind, after.as_deref()).await {
            Ok(page) => StoreReply::Page {
                objects: page.objects.iter().map(Into::into).collect(),
                more: page.more,
                at: page.at,
            },
            Err(error) => StoreReply::of_error(&error),
        },
        StoreCall::Get { kind, name } => match store.get(&kind, &name).await {
            Ok(Some(object)) => StoreReply::Object((&object).into()),
            Ok(None) => StoreReply::Missing,
            Err(error) => StoreReply::of_error(&error),
        },
        StoreCall::Create { kind, name, content } => match serde_json::from_str(&content) {
            Ok(content) => StoreReply::of_object(&store.create(&kind, &name, content).await),
            Err(error) => StoreReply::NotDone(error.to_string()),
        },
        StoreCall::Replace { kind, name, content, revision } => {
            let condition = revision.map_or(Condition::Any, Condition::At);
            match serde_json::from_str(&content) {
                Ok(content) => {
                    let result = store.replace(&kind, &name, content, condition).await;
                    StoreReply::of_object(&result)
                }
                Err(error) => StoreReply::NotDone(error.to_string()),
            }
        }
    }
}
