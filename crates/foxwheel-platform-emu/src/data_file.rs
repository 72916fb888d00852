//! Keeps the objects of the emulator in a file, so that they survive a restart.

use std::io;
use std::path::Path;

use crate::state::StoreSnapshot;

/// Reads a data file. Returns `None` if the file does not exist, and an error if it can't be read
/// or decoded.
pub fn load(path: &Path) -> io::Result<Option<StoreSnapshot>> {
    match std::fs::read(path) {
        Ok(bytes) => serde_json::from_slice(&bytes)
            .map(Some)
            .map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e)),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e),
    }
}

/// Replaces the data file atomically, so that a crash leaves either the old or the new content.
///
/// Returns an error if the file can't be written.
pub fn save(path: &Path, snapshot: &StoreSnapshot) -> io::Result<()> {
    let bytes = serde_json::to_vec(snapshot).map_err(io::Error::other)?;
    let temporary_path = path.with_extension("next");
    std::fs::write(&temporary_path, bytes)?;
    std::fs::rename(temporary_path, path)
}
