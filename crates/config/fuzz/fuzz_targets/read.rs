#![no_main]

libfuzzer_sys::fuzz_target!(|bytes: &[u8]| asterlatch_config::fuzz_checks::check_bytes(bytes));
