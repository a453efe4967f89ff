//! Relays calls to the store for peers that cannot reach it.
//!
//! The store may be unreachable from single machines. A daemon whose direct path fails asks a peer,
//! which makes the call itself or rejects it at once.

use super::store_messages::StoreCall;
use super::store_messages::StoreReply;
use crate::gateway::Gateway;
use crate::ports::Condition;

/// Makes a call for a peer, on this daemon's direct path only.
pub async fn handle(gateway: &Gateway, call: StoreCall) -> StoreReply {
    if !gateway.store.is_reachable() {
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
                last_name: page.last_name,
            },
            Err(error) => StoreReply::from_error(&error),
        },
        StoreCall::Get { kind, name } => match store.get(&kind, &name).await {
            Ok(Some(object)) => StoreReply::Object((&object).into()),
            Ok(None) => StoreReply::Missing,
            Err(error) => StoreReply::from_error(&error),
        },
        StoreCall::Create { kind, name, content } => match serde_json::from_str(&content) {
            Ok(content) => StoreReply::from_result(&store.create(&kind, &name, content).await),
            Err(error) => StoreReply::NotDone(error.to_string()),
        },
        StoreCall::Replace { kind, name, content, revision } => {
            let condition = revision.map_or(Condition::Any, Condition::At);
            match serde_json::from_str(&content) {
                Ok(content) => {
                    let result = store.replace(&kind, &name, content, condition).await;
                    StoreReply::from_result(&result)
                }
                Err(error) => StoreReply::NotDone(error.to_string()),
            }
        }
    }
}
