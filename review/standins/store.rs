//! A stand-in for the platform's metadata store: linearizable, and always available.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Request};
use crate::json;

/// How long the store takes for an answer, as in the sheets of the deployments.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Maximum size of an object: `value_bytes` in the settings.
pub const MAX_VALUE_BYTES: usize = 1_048_576;

#[derive(Clone)]
struct Object {
    name: String,
    revision: u64,
    spec: String,
    status: String,
}

impl Object {
    fn text(&self) -> String {
        format!(
            "{{\"metadata\":{{\"name\":\"{}\",\"revision\":{}}},\"spec\":{},\"status\":{}}}",
            self.name, self.revision, self.spec, self.status
        )
    }
}

struct Event {
    revision: u64,
    kind: String,
    object: String,
    tombstone: bool,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    history: Vec<Event>,
    /// The callers of the writes that were made under a condition of a revision, oldest first.
    conditional_writers: Vec<String>,
    is_down: bool,
    /// The writes that were refused because the object would be too large: name and size.
    too_large: Vec<(String, usize)>,
}

impl State {
    fn record(&mut self, kind: &str, object: &Object, tombstone: bool) {
        self.history.push(Event {
            revision: self.revision,
            kind: kind.to_owned(),
            object: object.text(),
            tombstone,
        });
    }

    fn put(&mut self, kind: &str, name: &str, spec: &str) -> Object {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(known) = self.objects.get(&key).filter(|known| known.spec == spec) {
            return known.clone();
        }
        self.revision += 1;
        let status = self.objects.get(&key).map(|known| known.status.clone());
        let object = Object {
            name: name.to_owned(),
            revision: self.revision,
            spec: spec.to_owned(),
            status: status.unwrap_or_else(|| "null".to_owned()),
        };
        self.objects.insert(key, object.clone());
        self.record(kind, &object, false);
        object
    }

    fn delete(&mut self, kind: &str, name: &str) -> Option<Object> {
        let key = (kind.to_owned(), name.to_owned());
        let mut object = self.objects.remove(&key)?;
        self.revision += 1;
        object.revision = self.revision;
        self.record(kind, &object, true);
        Some(object)
    }
}

/// The store. Clones share the same state.
#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Writes an object as the operator or a replica does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.shared.0.lock().unwrap().put(kind, name, spec);
        self.shared.1.notify_all();
    }

    /// Sets whether the store is down: it answers each call with 503, and does nothing.
    pub fn set_down(&self, is_down: bool) {
        self.shared.0.lock().unwrap().is_down = is_down;
    }

    pub fn is_down(&self) -> bool {
        self.shared.0.lock().unwrap().is_down
    }

    /// Returns the writes that were refused because the object would be too large: name and size.
    pub fn too_large(&self) -> Vec<(String, usize)> {
        self.shared.0.lock().unwrap().too_large.clone()
    }

    /// Returns the spec of an object.
    pub fn spec(&self, kind: &str, name: &str) -> Option<String> {
        let state = self.shared.0.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        state.objects.get(&key).map(|object| object.spec.clone())
    }

    /// Returns which of `machines` last wrote to the store under a condition.
    pub fn last_conditional_writer(&self, machines: &[String]) -> Option<String> {
        let state = self.shared.0.lock().unwrap();
        let mut writers = state.conditional_writers.iter().rev();
        writers.find(|writer| machines.contains(writer)).cloned()
    }

    /// Listens for the calls of the machine `caller` on an address of its own.
    pub fn listen(&self, caller: &str) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port for the store");
        let addr = listener.local_addr().expect("address of the store");
        let (store, caller) = (self.clone(), caller.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, caller) = (store.clone(), caller.clone());
                thread::spawn(move || store.serve(stream, &caller));
            }
        });
        addr
    }

    fn serve(&self, stream: TcpStream, caller: &str) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read_request() {
            thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(&request, caller);
            let headers = "Content-Type: application/json\r\n";
            if connection
                .respond(status, headers, body.as_bytes())
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, request: &Request, caller: &str) -> (&'static str, String) {
        const NOT_FOUND: (&str, String) = ("404 Not Found", String::new());
        if self.is_down() {
            return ("503 Service Unavailable", String::new());
        }
        let path = request.path().to_owned();
        let mut parts = path.trim_start_matches("/api/objects/").split('/');
        let kind = parts.next().unwrap_or_default();
        let name = parts.next();
        let is_status = parts.next() == Some("status");
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let metadata = json::member(&body, "metadata").unwrap_or("{}");
        let condition = json::number(metadata, "revision")
            .or_else(|| request.query("revision").and_then(|it| it.parse().ok()));
        if request.body.len() > MAX_VALUE_BYTES {
            let name = json::string(metadata, "name").unwrap_or_default();
            let mut state = self.shared.0.lock().unwrap();
            state
                .too_large
                .push((format!("{kind}/{name}"), request.body.len()));
            return ("413 Payload Too Large", String::new());
        }
        match (request.method.as_str(), name) {
            ("GET", None) => match request.query("watch").and_then(|it| it.parse().ok()) {
                Some(from) => self.watch(kind, from, request),
                None => self.list(kind),
            },
            ("GET", Some(name)) => {
                let state = self.shared.0.lock().unwrap();
                let found = state.objects.get(&(kind.to_owned(), name.to_owned()));
                found.map_or(NOT_FOUND, |object| ("200 OK", object.text()))
            }
            ("POST", None) => {
                let name = json::string(metadata, "name").unwrap_or_default();
                let spec = json::member(&body, "spec").unwrap_or("null");
                let mut state = self.shared.0.lock().unwrap();
                let key = (kind.to_owned(), name.clone());
                if let Some(known) = state.objects.get(&key) {
                    return ("409 Conflict", known.text());
                }
                let object = state.put(kind, &name, spec);
                self.shared.1.notify_all();
                ("201 Created", object.text())
            }
            ("PUT", Some(name)) => {
                let mut state = self.shared.0.lock().unwrap();
                let key = (kind.to_owned(), name.to_owned());
                let Some(known) = state.objects.get(&key).cloned() else {
                    return NOT_FOUND;
                };
                if condition.is_some_and(|revision| revision != known.revision) {
                    return ("409 Conflict", known.text());
                }
                if condition.is_some() {
                    state.conditional_writers.push(caller.to_owned());
                }
                let object = if is_status {
                    let mut object = known;
                    state.revision += 1;
                    object.revision = state.revision;
                    object.status = json::member(&body, "status").unwrap_or("null").to_owned();
                    state.objects.insert(key, object.clone());
                    state.record(kind, &object, false);
                    object
                } else {
                    state.put(kind, name, json::member(&body, "spec").unwrap_or("null"))
                };
                self.shared.1.notify_all();
                ("200 OK", object.text())
            }
            ("DELETE", Some(name)) => {
                let mut state = self.shared.0.lock().unwrap();
                let key = (kind.to_owned(), name.to_owned());
                let Some(known) = state.objects.get(&key).cloned() else {
                    return NOT_FOUND;
                };
                if condition.is_some_and(|revision| revision != known.revision) {
                    return ("409 Conflict", known.text());
                }
                state.delete(kind, name);
                self.shared.1.notify_all();
                ("200 OK", known.text())
            }
            _ => ("400 Bad Request", String::new()),
        }
    }

    fn list(&self, kind: &str) -> (&'static str, String) {
        let state = self.shared.0.lock().unwrap();
        let objects = state.objects.iter().filter(|((of, _), _)| of == kind);
        let items: Vec<String> = objects.map(|(_, object)| object.text()).collect();
        let (items, as_of) = (items.join(","), state.revision);
        (
            "200 OK",
            format!("{{\"items\":[{items}],\"has_more\":false,\"as_of\":{as_of}}}"),
        )
    }

    fn watch(&self, kind: &str, from: u64, request: &Request) -> (&'static str, String) {
        let wait_ms = request.query("wait_ms").and_then(|it| it.parse().ok());
        let until = Instant::now() + Duration::from_millis(wait_ms.unwrap_or(0));
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let newer = state.history.iter().filter(|event| event.revision > from);
            let events: Vec<String> = newer
                .filter(|event| event.kind == kind)
                .map(|event| {
                    let Event {
                        object, tombstone, ..
                    } = event;
                    format!("{{\"object\":{object},\"tombstone\":{tombstone}}}")
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, as_of) = (events.join(","), state.revision);
                return (
                    "200 OK",
                    format!("{{\"events\":[{events}],\"as_of\":{as_of}}}"),
                );
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }
}
