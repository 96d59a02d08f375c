//! Search of the records of all chains.

use std::time::Duration;

use edges::EdgeResult;
use edges::store::ObjectStore;

use crate::EntryPosition;
use crate::Record;
use crate::chain;
use crate::chain::EntryBody;

/// Returns the records that `wanted` accepts, in the order of their end, each with its place.
///
/// Entries that cannot be read are passed over; [`crate::verify`] reports them. Each read of the
/// object store has the given timeout; an error means that the store could not be read.
pub async fn search(
    store: &dyn ObjectStore,
    wanted: impl Fn(&Record) -> bool,
    timeout: Duration,
) -> EdgeResult<Vec<(EntryPosition, Record)>> {
    let mut found = Vec::new();
    for key in store.list(chain::PREFIX, timeout).await? {
        let Some((process, incarnation, _)) = chain::parse_key(&key) else {
            continue;
        };
        let Some(data) = store.get(&key, timeout).await? else {
            continue;
        };
        let text = String::from_utf8_lossy(&data);
        for stored in text.lines().filter_map(chain::parse) {
            let EntryBody::Record(record) = stored.entry.body else {
                continue;
            };
            if wanted(&record) {
                let place = EntryPosition {
                    process: process.to_owned(),
                    incarnation,
                    seq: stored.entry.seq,
                };
                found.push((place, *record));
            }
        }
    }
    found.sort_by_key(|(_, record)| record.end());
    Ok(found)
}
