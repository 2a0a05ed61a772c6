//! Notices a settings file that changes without a signal.

use std::path::{Path, PathBuf};
use std::time::Duration;

use tokio::time::sleep;

/// Between two looks at the file: half of the two seconds within which operators expect a change
/// to be in force.
const STEP: Duration = Duration::from_secs(1);

/// A settings file and what it held when it was last looked at.
#[derive(Debug)]
pub struct Watch {
    path: PathBuf,
    known: Option<Vec<u8>>,
}

impl Watch {
    /// Watches a file from now on.
    pub fn new(path: &Path) -> Self {
        Self {
            path: path.to_owned(),
            known: std::fs::read(path).ok(),
        }
    }

    /// Waits until the file holds something else than before. A file that can't be read counts
    /// as unchanged: it may be about to be replaced.
    pub async fn changed(&mut self) {
        loop {
            sleep(STEP).await;
            let Ok(now) = std::fs::read(&self.path) else {
                continue;
            };
            if self.known.as_ref() != Some(&now) {
                self.known = Some(now);
                return;
            }
        }
    }
}
