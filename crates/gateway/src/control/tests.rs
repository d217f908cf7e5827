use masticstair_core::catalog::CatalogDocument;
use masticstair_core::prelude::*;

use super::catalog_confirmations::CatalogConfirmations;
use super::recent_catalogs::RecentCatalogs;

fn version(number: u64) -> CatalogVersion {
    CatalogVersion::new(number)
}

/// Guards against a host that counts as late because it has just started.
#[test]
fn delays_count_from_the_catalog_that_a_subscriber_had() {
    struct Step {
        name: &'static str,
        at_ms: u64,
        confirms: u64,
        delay_ms: Option<u64>,
    }
    let steps = [
        Step { name: "first request", at_ms: 300, confirms: 1, delay_ms: None },
        Step { name: "nothing new", at_ms: 310, confirms: 1, delay_ms: None },
        Step { name: "two at once", at_ms: 350, confirms: 3, delay_ms: Some(150) },
        Step { name: "restart", at_ms: 400, confirms: 0, delay_ms: None },
        Step { name: "its first catalog", at_ms: 410, confirms: 3, delay_ms: None },
    ];
    let at = |ms: u64| Timestamp::new(ms * 1_000);
    let mut confirmations = CatalogConfirmations::default();
    for number in 1..=3 {
        confirmations.record_installed(at(number * 100), version(number));
    }
    for step in steps {
        let host = "h".parse().unwrap();
        let found = confirmations.record_confirmed(at(step.at_ms), &host, version(step.confirms));
        let found = found.map(|delay| delay.as_millis() as u64);
        assert_eq!(found, step.delay_ms, "{}", step.name);
    }
}

/// Guards against an update from which a subscriber restores another document than the one that was stored (CONFIG).
#[test]
fn updates_restore_the_newest_document() {
    let content = |number: u64, bytes: usize| -> Vec<u8> {
        let bytes = (0..bytes as u64).map(|n| (n * n / 7 + n / 1_000) as u8);
        bytes.chain(number.to_le_bytes()).collect()
    };
    for bytes in [0, 1_000, 1_500_000] {
        let mut recent = RecentCatalogs::default();
        for number in 1..=3 {
            let content = content(number, bytes).into();
            recent.add(CatalogDocument { version: version(number), content });
        }
        let newest = content(3, bytes);
        for base in [0, 1, 2, 9] {
            let (found, update) = recent.update_from(version(base)).unwrap().unwrap();
            let earlier = match update.base.get() {
                0 => Vec::new(),
                held => content(held, bytes),
            };
            assert_eq!(found, version(3));
            assert!(update.base == version(0) || update.base == version(base), "{base}");
            assert_eq!(update.decode(&earlier).unwrap(), newest, "{base}, {bytes} bytes");
        }
        let (_, update) = recent.update_from(version(2)).unwrap().unwrap();
        assert!(update.content.len() < 500, "{bytes}: {} bytes", update.content.len());
        assert!(bytes == 0 || update.decode(&vec![7; bytes]).is_err(), "{bytes}: another base");
    }
}
