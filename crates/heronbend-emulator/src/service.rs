//! Single-threaded HTTP server and response helpers shared by the emulated services.

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use heronbend_http::http_types::{Request, Response, StatusCode};
use heronbend_http::{error_response, read_body, Connections, Outcome, ServerLimits};
use serde::de::DeserializeOwned;
use smol::net::TcpListener;
use smol::LocalExecutor;

/// Maximum request body size in bytes.
pub const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Executor shared by the tasks of one thread.
pub type Executor = Rc<LocalExecutor<'static>>;

/// Serves requests on `listen` until the process exits.
///
/// `start` gets the executor and the bound address and returns the request handler. Fails if the
/// address cannot be bound.
pub fn serve<H, F>(
    listen: SocketAddr,
    start: impl FnOnce(&Executor, SocketAddr) -> anyhow::Result<H>,
) -> anyhow::Result<()>
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response> + 'static,
{
    let executor: Executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.run(async {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let handler = start(&executor, address)?;
        let limits = ServerLimits { max_body_bytes: MAX_BODY_BYTES, ..ServerLimits::default() };
        Connections::default().serve(executor.clone(), listener, limits, handler).await?;
        Ok(())
    }))
}

/// Reads a JSON body; on failure returns the error response to send.
pub async fn read_json<T: DeserializeOwned>(request: &mut Request) -> Result<T, Response> {
    let bytes =
        read_body(request, MAX_BODY_BYTES, BODY_TIMEOUT).await.map_err(|error| error.response())?;
    serde_json::from_slice(&bytes).map_err(|error| bad_request("invalid_json", &error.to_string()))
}

/// Builds an error response with status 400.
pub fn bad_request(code: &str, message: &str) -> Response {
    error_response(StatusCode::BadRequest, code, message, Outcome::NotRun)
}

/// Builds an error response with status 404.
pub fn not_found(path: &str) -> Response {
    let message = format!("there is nothing at {path}");
    error_response(StatusCode::NotFound, "not_found", message, Outcome::NotRun)
}

/// Returns the first value of a query parameter.
pub fn query_value(request: &Request, name: &str) -> Option<String> {
    request.url().query_pairs().find(|(key, _)| key == name).map(|(_, value)| value.into_owned())
}
