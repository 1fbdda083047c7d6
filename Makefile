CONFIG ?= $(RELAY_CONFIG)

.PHONY: build test lint run check ci

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

run: build
	target/release/asterlatch serve --config "$(CONFIG)"

check: build
	target/release/asterlatch check --config "$(CONFIG)"

ci:
	bash .ci/run
