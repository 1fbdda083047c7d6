CONFIG ?= $(RELAY_CONFIG)

.PHONY: trial-fleet measure-shared demo build test lint run check ci bench-config bench-flood fuzz-config trial-upgrade trial-faults

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --workspace --lib --no-deps --locked

# Stand-in members, discovery and clients around the built program, ten seconds of load with faults, and a check of the rules.
demo: build
	target/release/asterlatch-testbed demo

run: build
	target/release/asterlatch serve --config "$(CONFIG)"

check: build
	target/release/asterlatch check --config "$(CONFIG)"

ci:
	bash .ci/run

# Outside CI: cost by size, and the fuzz target for five minutes (needs cargo-fuzz and a nightly toolchain).
bench-config:
	cargo bench -p asterlatch-config --locked --bench size --bench cost

# CPU time under a flood of invalid input, compared with an earlier build: make bench-flood BEFORE=path/to/asterlatch
bench-flood:
	BEFORE="$(BEFORE)" cargo bench -p asterlatch-driver --locked --bench flood

fuzz-config:
	cd crates/config && cargo fuzz run read -- -max_total_time=300

# Twenty upgrades in a row under load, some with a killed process, and twenty with faults of members during every second
# one. The answers that clients got are checked against the statements that members executed.
trial-upgrade: build
	cargo test -p asterlatch-driver --release --locked --test upgrade -- --ignored --nocapture twenty
	target/release/asterlatch-testbed upgrade --count 20 --rate 1500 --faults --after 1

# SIGKILL of either process at 200 random points of upgrades: make trial-faults SEED=7
trial-faults:
	SEED="$(SEED)" cargo test -p asterlatch-driver --release --locked --test upgrade -- --ignored --nocapture kills

# All scenarios with several processes and faults between them, fifty seeds each: half an hour on six cores.
SEEDS ?= 50
trial-fleet: build
	target/release/asterlatch-testbed trial-fleet --seeds $(SEEDS) --jobs 6 --seconds 5

# Cost of gossip between drivers by fleet size, in virtual time.
measure-shared:
	cargo test -p asterlatch-gossip --release --locked --test node costs -- --ignored --nocapture
