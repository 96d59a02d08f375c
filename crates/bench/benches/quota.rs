//! Benchmarks of the limits of tenants: look up a key and charge its tenant.

#![allow(
    missing_docs,
    reason = "criterion's macros generate undocumented items"
)]

use std::hint::black_box;
use std::time::Duration;

use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use decision::time::Time;
use serving::Name;
use serving::quota::Accounts;
use serving::quota::Ask;
use serving::quota::Buckets;
use serving::quota::Shares;
use serving::tenants::Quota;
use serving::tenants::QuotaUnit;
use serving::tenants::Tenant;
use serving::tenants::TenantSpec;
use serving::tenants::Tenants;

const TENANTS: usize = 1_600;
const KEYS: usize = 10;
/// The agents that the entry is linked to.
const AGENTS: usize = 56;
const COST: u64 = 1_000;
/// The time between two requests.
const PAUSE: Duration = Duration::from_micros(50);

/// An entry whose asks are answered at once.
struct Fixture {
    now: Time,
    tenants: Tenants,
    keys: Vec<String>,
    accounts: Accounts,
    buckets: Buckets,
    rng: fastrand::Rng,
    next: usize,
}

impl Fixture {
    /// Creates an entry whose tenants have this limit, with full buckets.
    fn new(quota: Quota) -> Fixture {
        let spec = |index: usize| TenantSpec {
            tenant: Tenant {
                name: format!("tenant-{index}").into(),
                priority: None,
                quota: Some(quota),
                unit: QuotaUnit::Tokens,
                plain_tokens: COST,
            },
            keys: (0..KEYS).map(|key| key_of(index, key)).collect(),
        };
        let tenants = Tenants::new((0..TENANTS).map(spec).collect());
        let tenants = tenants.expect("the tenants are consistent");
        // The benchmark plays all entries with one, which brings the whole limit.
        let shares = Shares {
            entries: 1,
            slack: 110_000.0 / 31.0,
            excess_s: 0.0,
        };
        let mut accounts = Accounts::new(1, shares);
        for agent in 0..AGENTS {
            accounts.link(&format!("i-{agent}").into());
        }
        accounts.set_limits(1, Some(&tenants));
        let mut fixture = Fixture {
            now: Time::from_ms(1_000),
            keys: (0..TENANTS * KEYS)
                .map(|index| key_of(index % TENANTS, index / TENANTS))
                .collect(),
            tenants,
            accounts,
            buckets: Buckets::default(),
            rng: fastrand::Rng::with_seed(1),
            next: 0,
        };
        for _ in 0..40 {
            fixture.now = fixture.now.after(Duration::from_millis(250));
            for ask in fixture.accounts.due(fixture.now) {
                fixture.answer(ask);
            }
        }
        fixture
    }

    fn charge(&mut self) {
        self.now = self.now.after(PAUSE);
        self.next = (self.next + 7_919) % self.keys.len();
        let tenant = self.tenants.by_key(&self.keys[self.next]);
        let name = tenant.expect("a known key").name.clone();
        let (decision, ask) = self.accounts.charge(self.now, &name, COST, &mut self.rng);
        black_box(decision);
        if let Some(ask) = ask {
            self.answer(ask);
        }
    }

    fn answer(&mut self, ask: Ask) {
        let grant = self.buckets.ask(self.now, &ask.tenant, &ask.request);
        let (agent, tenant): (&str, &Name) = (&ask.agent, &ask.tenant);
        let rng = &mut self.rng;
        let changes = self
            .accounts
            .apply(self.now, agent, tenant, ask.id, grant, rng);
        black_box(changes);
    }
}

fn key_of(tenant: usize, key: usize) -> String {
    format!("key-{tenant:08}-{key:016}")
}

fn bench_quota(criterion: &mut Criterion) {
    let cases = [
        ("below the limit, asks and answers included", 1e12),
        ("beyond the limit", 0.001),
    ];
    for (name, rate) in cases {
        let mut fixture = Fixture::new(Quota { rate, burst: rate });
        criterion.bench_function(&format!("look up and charge/{name}"), |bencher| {
            bencher.iter(|| fixture.charge());
        });
    }
}

criterion_group!(benches, bench_quota);
criterion_main!(benches);
