//! Benchmarks lookups and rebuilds of a table at its design size.

use std::hint;
use std::net;

use marjoramwing_blocks::builder;
use marjoramwing_blocks::table;
use marjoramwing_entity::key::EntityKey;
use marjoramwing_tables::site;
use rand::RngExt;
use rand::SeedableRng;

const BLOCKS: u32 = 1_300_000;
const SITES: usize = 110;
const ADDRESSES: usize = 65_536;

fn add_blocks(builder: &mut builder::TableBuilder) {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(1);
    for number in 0..BLOCKS {
        let address = net::IpAddr::V4(net::Ipv4Addr::from_bits((number * 3) << 8));
        let prefix = site::AddressPrefix { address, length: 24 };
        builder.add(&prefix, site::SiteKey::from_index(rng.random_range(0..SITES)));
    }
}

fn build_table(builder: &mut builder::TableBuilder) -> table::BlockTable {
    add_blocks(builder);
    builder.build()
}

fn bench_table(criterion: &mut criterion::Criterion) {
    let mut builder = builder::TableBuilder::default();
    let table = build_table(&mut builder);
    println!("memory of {BLOCKS} blocks: {} bytes", table.memory_bytes());
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(2);
    let random_address = |_| net::IpAddr::V4(net::Ipv4Addr::from_bits(rng.random()));
    let addresses: Vec<_> = (0..ADDRESSES).map(random_address).collect();
    let mut index = 0;
    criterion.bench_function("find_block", |bencher| {
        bencher.iter(|| {
            index = (index + 1) % ADDRESSES;
            hint::black_box(table.find(addresses[index]))
        });
    });
    let mut group = criterion.benchmark_group("rebuild");
    group.sample_size(10);
    group.bench_function("design_size", |bencher| {
        bencher.iter(|| hint::black_box(build_table(&mut builder)));
    });
}

criterion::criterion_group!(benches, bench_table);
criterion::criterion_main!(benches);
