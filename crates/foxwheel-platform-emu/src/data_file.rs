//! Keeping the emulator's objects in a file, so that they survive a restart.

use std::io;
use std::path::Path;

use crate::state::StoreSnapshot;

/// Reads a data file; `None` when there is none yet.
pub fn load(path: &Path) -> io::Result<Option<StoreSnapshot>> {
    match std::fs::read(path) {
        Ok(bytes) => serde_json::from_slice(&bytes)
            .map(Some)
            .map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e)),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e),
    }
}

/// Replaces the data file whole: a crash leaves the old one or the new one.
pub fn save(path: &Path, snapshot: &StoreSnapshot) -> io::Result<()> {
    let bytes = serde_json::to_vec(snapshot).map_err(io::Error::other)?;
    let next = path.with_extension("next");
    std::fs::write(&next, bytes)?;
    std::fs::rename(next, path)
}
