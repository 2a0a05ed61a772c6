//! Era that the responses of a store name.

use std::cell::Cell;

use agate_model::id::Era;
use agate_model::revision;

/// Era of the responses of one store, some of which may not name it.
#[derive(Debug, Default)]
pub struct Named {
    last: Cell<Era>,
}

impl Named {
    /// Returns the era of a response that names it as `value`; `None` if it names none. One that names none, or a
    /// malformed one, counts as of the same era as the response before it; the first as of era 0.
    pub fn observe(&self, value: Option<&[u8]>) -> Era {
        if let Some(value) = value {
            let text = std::str::from_utf8(value).ok();
            let era = text.and_then(|text| text.parse().ok());
            match era.filter(|era| revision::join(*era, 0).is_some()) {
                Some(era) => self.last.set(era),
                None => tracing::warn!(
                    event = "store_era_malformed",
                    value = %String::from_utf8_lossy(value),
                ),
            }
        }
        self.last.get()
    }
}
