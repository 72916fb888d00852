//! Client of a gateway's batch API.

use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use foxwheel_http_client::client::HttpClient;
use hyper::{Method, Request};

use crate::CtlError;

/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 256 * 1024 * 1024;

/// Timeout of one call to the gateway.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// A client of one gateway. Each call returns the body of the response as text, or
/// [`CtlError::Gateway`] if the gateway cannot be reached or does not return a success status.
pub struct GatewayClient {
    base_url: String,
    http: HttpClient,
}

impl GatewayClient {
    /// Creates a client of the gateway at `base_url`, e.g. `http://127.0.0.1:7000`.
    pub fn new(base_url: &str) -> Self {
        Self {
            base_url: base_url.trim_end_matches('/').to_owned(),
            http: HttpClient::default(),
        }
    }

    async fn call(
        &self,
        step: &'static str,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<String, CtlError> {
        let gateway_error = |detail: String| CtlError::Gateway {
            step,
            peer: self.base_url.clone(),
            detail,
        };
        let request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base_url))
            .header("content-type", "application/json")
            .body(body)
            .map_err(|e| gateway_error(e.to_string()))?;
        let sent = self.http.send(request, CALL_TIMEOUT).await;
        let mut response = sent.map_err(|e| gateway_error(e.to_string()))?;
        let body = response
            .read_to_end(MAX_RESPONSE_BYTES)
            .await
            .map_err(|e| gateway_error(e.to_string()))?;
        let text = String::from_utf8_lossy(&body).into_owned();
        if !response.status().is_success() {
            return Err(gateway_error(format!(
                "status {}: {text}",
                response.status()
            )));
        }
        Ok(text)
    }

    /// Creates a batch job (`POST /v1/batches`) from the JSON request in `file`. Returns
    /// [`CtlError::Usage`] if the file cannot be read or is not JSON.
    pub async fn create(&self, file: &Path) -> Result<String, CtlError> {
        let text = std::fs::read_to_string(file)
            .map_err(|e| CtlError::Usage(format!("cannot read {}: {e}", file.display())))?;
        let body: serde_json::Value = serde_json::from_str(&text)
            .map_err(|e| CtlError::Usage(format!("{} is not JSON: {e}", file.display())))?;
        let body = Bytes::from(body.to_string());
        self.call("create batch", Method::POST, "/v1/batches", body)
            .await
    }

    /// Returns the state and counts of a job (`GET /v1/batches/{id}`).
    pub async fn status(&self, id: &str) -> Result<String, CtlError> {
        let path = format!("/v1/batches/{id}");
        self.call("batch status", Method::GET, &path, Bytes::new())
            .await
    }

    /// Cancels a job (`POST /v1/batches/{id}/cancel`).
    pub async fn cancel(&self, id: &str) -> Result<String, CtlError> {
        let path = format!("/v1/batches/{id}/cancel");
        self.call("cancel batch", Method::POST, &path, Bytes::new())
            .await
    }

    /// Returns the results of a job, one JSON object a line (`GET /v1/batches/{id}/results`).
    pub async fn results(&self, id: &str) -> Result<String, CtlError> {
        let path = format!("/v1/batches/{id}/results");
        self.call("batch results", Method::GET, &path, Bytes::new())
            .await
    }
}
