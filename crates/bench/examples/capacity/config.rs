//! Configuration costs: snapshots, a small change, route tables, and membership lists.

use decision::ids::Head;
use decision::member::Instance;
use decision::member::Liveness;
use decision::member::MemberChanges;
use decision::member::Membership;
use decision::member::Role;
use decision::route::RouteTable;
use objects::Manifest;
use objects::ObjectSet;
use objects::Snapshot;
use objects::changed_buckets;

use crate::measure::Series;
use crate::measure::heap_bytes;
use crate::measure::time_us;
use crate::sample;

const ADAPTER_COUNTS: [usize; 3] = [3_000, 10_000, 26_000];
const INSTANCE_COUNTS: [usize; 3] = [100, 500, 1_550];

/// Measures the costs by number of adapters and instances.
pub(crate) fn measure() -> Vec<Series> {
    let mut series = [
        Series::new("snapshot_bytes_by_adapter"),
        Series::new("config_memory_bytes_by_adapter"),
        Series::new("publish_cpu_us_by_adapter"),
        Series::new("change_fetch_bytes_by_adapter"),
        Series::new("change_apply_cpu_us_by_adapter"),
        Series::new("route_table_cpu_us_by_adapter"),
        Series::new("route_table_bytes_by_adapter"),
    ];
    for adapters in ADAPTER_COUNTS {
        for (series, value) in series.iter_mut().zip(measure_adapters(adapters)) {
            series.add(adapters, value);
        }
    }
    let mut all = series.to_vec();
    all.extend(measure_membership());
    all
}

fn measure_adapters(adapters: usize) -> [f64; 7] {
    let mut set = sample::object_set(adapters, 171);
    let first = Snapshot::build(&set, 0, "capacity", 0);
    let publish_us = time_us(3, 1, || drop(Snapshot::build(&set, 0, "capacity", 0)));
    let snapshot_bytes: usize = first.buckets.iter().map(Vec::len).sum();

    let before = heap_bytes();
    let buckets: Vec<(usize, Vec<u8>)> = first.buckets.iter().cloned().enumerate().collect();
    let config =
        ObjectSet::from_buckets(&first.manifest, &buckets).expect("a built snapshot is valid");
    let config_bytes = heap_bytes() - before;

    sample::change_route(&mut set, adapters / 2);
    let second = Snapshot::build(&set, 1, "capacity", 1);
    let changed = changed_buckets(&first.manifest, &second.manifest);
    let fetched: Vec<(usize, &[u8])> = changed
        .iter()
        .map(|bucket| (*bucket, second.buckets[*bucket].as_slice()))
        .collect();
    let fetch_bytes =
        second.manifest_bytes.len() + fetched.iter().map(|(_, data)| data.len()).sum::<usize>();
    let apply_us = time_us(5, 1, || {
        let manifest = Manifest::decode_checked(&second.manifest_bytes, second.digest)
            .expect("a built manifest is valid");
        let next = objects::apply_buckets(&config, &first.manifest, &manifest, &fetched);
        drop(next.expect("built buckets are valid"));
    });
    let build_us = time_us(3, 1, || drop(RouteTable::build(Head::default(), &config)));
    let before = heap_bytes();
    let table = RouteTable::build(Head::default(), &config);
    let route_table_bytes = heap_bytes() - before;
    drop(table);
    [
        snapshot_bytes as f64,
        config_bytes,
        publish_us,
        fetch_bytes as f64,
        apply_us,
        build_us,
        route_table_bytes,
    ]
}

fn measure_membership() -> Vec<Series> {
    let mut bytes = Series::new("member_list_bytes_by_instance");
    let mut full_list = Series::new("member_list_apply_cpu_us_by_instance");
    let mut change = Series::new("member_change_apply_cpu_us_by_instance");
    for count in INSTANCE_COUNTS {
        let list = MemberChanges {
            version: 1,
            whole: true,
            changed: instances(count),
            gone: Vec::new(),
        };
        bytes.add(
            count,
            serde_json::to_vec(&list)
                .expect("a membership list can be encoded as JSON")
                .len() as f64,
        );
        let mut view = Membership::default();
        full_list.add(
            count,
            time_us(5, 1, || assert!(Membership::default().apply(list.clone()))),
        );
        let mut version = 1;
        change.add(
            count,
            time_us(5, 100, || {
                version += 1;
                let mut changed = instances(1);
                changed[0].state = [Liveness::Live, Liveness::Leaving][version as usize % 2];
                view.apply(MemberChanges {
                    version,
                    whole: false,
                    changed,
                    gone: Vec::new(),
                });
                drop(view.clone());
            }),
        );
    }
    vec![bytes, full_list, change]
}

fn instances(count: usize) -> Vec<Instance> {
    let instance = |number: usize| Instance {
        name: format!("runner-{number:04}"),
        role: Role::Agent,
        state: Liveness::Live,
        peer: ([10, 0, (number / 250) as u8, (number % 250) as u8], 7000).into(),
        region: "south".to_owned(),
        domain: format!("south-{}", number % 4),
    };
    (0..count).map(instance).collect()
}
