//! Detects changes of a settings file by polling it.

use std::path::{Path, PathBuf};
use std::time::Duration;

use tokio::time::sleep;

/// Time between two reads of the file: half of the two seconds within which operators expect a
/// change to be in force.
const INTERVAL: Duration = Duration::from_secs(1);

/// Settings file and its contents when last read.
#[derive(Debug)]
pub struct Watch {
    path: PathBuf,
    /// Contents when last read; `None` if the file has never been readable.
    contents: Option<Vec<u8>>,
}

impl Watch {
    /// Starts to watch a file; its present contents count as unchanged.
    pub fn new(path: &Path) -> Self {
        Self {
            path: path.to_owned(),
            contents: std::fs::read(path).ok(),
        }
    }

    /// Waits until the contents of the file differ from those last read. A file that can't be read
    /// counts as unchanged, since it may be about to be replaced.
    pub async fn changed(&mut self) {
        loop {
            sleep(INTERVAL).await;
            let Ok(contents) = std::fs::read(&self.path) else {
                continue;
            };
            if self.contents.as_ref() != Some(&contents) {
                self.contents = Some(contents);
                return;
            }
        }
    }
}
