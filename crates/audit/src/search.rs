//! Searches the records of all chains.

use std::time::Duration;

use edges::EdgeResult;
use edges::store::ObjectStore;

use crate::EntryPosition;
use crate::Record;
use crate::chain;
use crate::chain::EntryBody;

/// Returns the records for which `predicate` is true, each with its position, ordered by end time.
///
/// Objects and entries that cannot be parsed are skipped; [`crate::verify()`] reports them. `timeout`
/// applies to each read of the object store.
///
/// # Errors
///
/// Returns an error if the object store cannot be read.
pub async fn search(
    store: &dyn ObjectStore,
    predicate: impl Fn(&Record) -> bool,
    timeout: Duration,
) -> EdgeResult<Vec<(EntryPosition, Record)>> {
    let mut found = Vec::new();
    for key in store.list(chain::PREFIX, timeout).await? {
        let Some((process, incarnation, _)) = chain::parse_object_key(&key) else {
            continue;
        };
        let Some(data) = store.get(&key, timeout).await? else {
            continue;
        };
        let text = String::from_utf8_lossy(&data);
        for stored in text.lines().filter_map(chain::parse_line) {
            let EntryBody::Record(record) = stored.entry.body else {
                continue;
            };
            if predicate(&record) {
                let position = EntryPosition {
                    process: process.to_owned(),
                    incarnation,
                    seq: stored.entry.seq,
                };
                found.push((position, *record));
            }
        }
    }
    found.sort_by_key(|(_, record)| record.end());
    Ok(found)
}
