//! Equal settings resolve equally from text and from JSON.

use asterlatch_settings::{read, SettingsMap};

const TEXT: &str = "
az=0
categories.count=2
categories.0.give_up_us=1500000
categories.0.idempotency=retryable
categories.0.key_scope=all
categories.0.late_worth=0.2
categories.0.name=balance_view
categories.0.objective_us=500000
categories.0.stream=false
categories.0.window_us=5000000
categories.0.worth=1.0
categories.1.idempotency=dedup
categories.1.key_scope=zone
categories.1.late_worth=0.3
categories.1.name=post
categories.1.objective_us=1200000
categories.1.window_us=4000000
categories.1.worth=3.0
discovery=ask
family_info.answers_stamped=true
family_info.behind=hold
family_info.counted_from_us=458203409628
family_info.freshness=recent,update
family_info.staleness_bound_us=800000,0
family_info.tokens=client
limits.cancel=true
limits.conn_idle_us=30000000
limits.connect_timeout_us=250000
limits.max_retry_after_us=500000
limits.probes=true
limits.retry_after=true
limits.try_limit=10
over_share_worth=0.1
parties.count=1
parties.0.name=a
parties.0.quota_per_s=12.5
peers_total=2
report.fields=x0,x1,cpu_share
report.how=on_probe
rules.ask_within_us=10000000
rules.cold_from=0.15
rules.fall_us=2000000
rules.gone_is_advice=true
rules.tip_multiple=4.0
rules.warm_within_us=15000000
tick_us=5000
zones=heredia,cartago
";

const JSON: &str = r#"{"az":0,"categories":[
 {"give_up_us":1500000,"idempotency":"retryable","key_scope":"all","late_worth":0.2,"name":"balance view",
  "objective_us":500000,"stream":false,"window_us":5000000,"worth":1.0},
 {"idempotency":"dedup","key_scope":"zone","late_worth":0.3,"name":"post","objective_us":1200000,
  "window_us":4000000,"worth":3.0}],
 "discovery":"ask","family_info":{"answers_stamped":true,"behind":"hold","counted_from_us":458203409628,
 "freshness":["recent","update"],"staleness_bound_us":[800000,0],"tokens":"client"},
 "limits":{"cancel":true,"conn_idle_us":30000000,"connect_timeout_us":250000,"max_retry_after_us":500000,
 "probes":true,"retry_after":true,"try_limit":10},"over_share_worth":0.1,
 "parties":[{"name":"a","quota_per_s":12.5}],"peers_total":2,
 "report":{"fields":["x0","x1","cpu_share"],"how":"on_probe"},
 "rules":{"ask_within_us":10000000,"cold_from":0.15,"fall_us":2000000,"gone_is_advice":true,"tip_multiple":4.0,
 "warm_within_us":15000000},"tick_us":5000,"zones":["heredia","cartago"]}"#;

#[test]
fn read_text_and_json_gives_equal_settings() {
    let json = serde_json::from_str(JSON).expect("parse the JSON");
    let from_text = SettingsMap::from_text(TEXT)
        .and_then(|p| read(&p))
        .expect("read the text");
    let from_json = SettingsMap::from_json(&json)
        .and_then(|p| read(&p))
        .expect("read the JSON settings");
    assert_eq!(format!("{from_text:?}"), format!("{from_json:?}"));
    // Guards against both being equal because they are empty.
    let (settings, decoding) = from_json;
    assert_eq!((settings.workloads.len(), settings.tenant_quotas.len()), (2, 1));
    assert_eq!(decoding.workload_names, ["balance_view", "post"]);
    assert_eq!((decoding.position_field, decoding.role_field), (Some(0), Some(1)));
    assert!(settings.poll_endpoint_list && settings.may_use_gone_members && settings.members_check_reads);
}

#[test]
fn read_invalid_settings_names_the_fault() {
    let cases = [
        (r#"[]"#, "not an object"),
        (r#"{"peers_total":"many"}"#, "peers_total"),
        (r#"{"categories":[{"idempotency":"never"}]}"#, "never"),
        (
            r#"{"categories":[{}],"family_info":{"freshness":["soon"]}}"#,
            "soon",
        ),
    ];
    for (json, expected) in cases {
        let value = serde_json::from_str(json).expect("parse the JSON");
        let error = SettingsMap::from_json(&value).and_then(|p| read(&p)).err();
        assert!(
            error.as_ref().is_some_and(|e| e.to_string().contains(expected)),
            "{json}: {error:?}"
        );
    }
}
