//! Objects that the operator and the backend servers write to the store: a configuration with one
//! route of each kind, and entries of servers.

use std::net::SocketAddr;

use serde_json::{json, Value};

/// Host header of all routes.
pub const HOST: &str = "calls.example";

/// Service of all routes.
pub const SERVICE: &str = "model";

/// Returns the name of the availability zone with this number, counted from 0.
pub fn zone_name(number: u32) -> String {
    match number {
        0 => "hall".to_owned(),
        number => format!("hall-{number}"),
    }
}

/// Software versions of the servers that serve side by side.
pub const VERSIONS: [&str; 2] = ["v1", "v1.1"];

/// Returns the entry of a backend server of [`SERVICE`] in the first zone.
pub fn server_entry(addr: SocketAddr, state: &str) -> Value {
    json!({
        "service": SERVICE, "addr": addr, "zone": zone_name(0), "version": "v1", "slots": 8,
        "state": state, "cold_left_ms": 0, "seq": 1,
    })
}

/// Returns a configuration with the routes `plain`, `once`, `stream`, `stream-once` and `batch`,
/// in this order. Each matches the paths that start with its name.
pub fn config(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [
            route("plain", "idempotent", json!({})),
            route("once", "non_idempotent", json!({})),
            route("stream", "streaming", json!({"resumable": true})),
            route("stream-once", "streaming", json!({"max_attempts": 1})),
            route("batch", "batch", json!({
                "completion_target_ms": 18_000, "retention_s": 60, "cap": 0,
                "max_attempts": 3, "priority": 2,
            })),
        ],
        "services": [{"name": SERVICE, "health_path": "/healthz", "max_conns": 100}],
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000,
        },
    })
}

/// Returns a route for the paths that start with `name`. The fields of `more` are added to the
/// default fields or override them.
pub fn route(name: &str, kind: &str, more: Value) -> Value {
    let mut route = json!({
        "name": name, "host": HOST, "path_prefix": format!("/{name}/"), "kind": kind,
        "timeout_ms": 3_000, "target_latency_ms": 300, "service": SERVICE,
        "max_attempts": 2, "priority": 0,
    });
    if let (Some(fields), Value::Object(more)) = (route.as_object_mut(), more) {
        fields.extend(more);
    }
    route
}
