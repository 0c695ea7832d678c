//! Authentication of callers: keys of organisations and the age of the configuration that contains them.

use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use tealcleat::bench::site::keyed_config;
use tealcleat::keys::TimePoint;
use tealcleat::organisations::{
    AgeReply, CallerPermission, ConfigAge, KeyDigest, KeyHasher, LimitUnit, OrgDirectory,
    Organisation, check_permission,
};
use tealcleat::platform::decode_config;

const MAX_AGE: Duration = Duration::from_millis(4900);

fn hasher() -> KeyHasher {
    KeyHasher::new("a-shared-key-of-tests")
}

fn directory() -> OrgDirectory {
    let parts = decode_config(&keyed_config(1), &hasher()).expect("it is valid");
    OrgDirectory::try_from(&parts.organisations[..]).expect("it is valid")
}

fn name_of(permission: &CallerPermission) -> &str {
    match permission {
        CallerPermission::Anonymous => "anonymous",
        CallerPermission::Granted(organisation) => &organisation.name,
        CallerPermission::UnknownKey => "unknown_key",
        CallerPermission::RefreshFirst => "ask_first",
        CallerPermission::ConfigTooOld => "too_old",
    }
}

#[rstest]
#[case::known("key-of-hanbit", false, 100, "hanbit")]
#[case::second_key("second-key-of-hanbit", false, 4800, "hanbit")]
#[case::known_too_old("key-of-hanbit", false, 5000, "too_old")]
#[case::wrong("key-of-nobody", false, 100, "unknown_key")]
#[case::wrong_or_new("key-of-nobody", false, 2500, "ask_first")]
#[case::wrong_too_old("key-of-nobody", false, 5000, "too_old")]
#[case::none("", false, 2500, "unknown_key")]
#[case::public_none("", true, 100, "anonymous")]
#[case::public_known("key-of-moonbook", true, 100, "moonbook")]
#[case::public_too_old("key-of-moonbook", true, 5000, "anonymous")]
#[case::public_wrong("key-of-nobody", true, 2500, "anonymous")]
fn permission_follows_key_and_age(
    #[case] key: &str,
    #[case] is_public: bool,
    #[case] age_ms: u64,
    #[case] expected: &str,
) {
    let digest: Option<KeyDigest> = (!key.is_empty()).then(|| hasher().digest(key));
    let age = Duration::from_millis(age_ms);
    let permission = check_permission(&directory(), is_public, digest, age, Some(MAX_AGE));
    assert_eq!(name_of(&permission), expected);
}

#[test]
fn permission_without_organisations_needs_no_key() {
    let digest = Some(hasher().digest("any"));
    let empty = OrgDirectory::default();
    let permission = check_permission(&empty, false, digest, Duration::MAX, Some(MAX_AGE));
    assert_eq!(permission, CallerPermission::Anonymous);
}

#[test]
fn digest_differs_between_shared_keys() {
    let other = KeyHasher::new("another-shared-key");
    assert_ne!(hasher().digest("key-of-hanbit"), other.digest("key-of-hanbit"));
    assert_eq!(hasher().digest("key-of-hanbit"), hasher().digest("key-of-hanbit"));
}

#[test]
fn debug_output_shows_no_key() {
    let parts = decode_config(&keyed_config(1), &hasher()).expect("it is valid");
    let text = format!("{parts:?} {:?}", hasher());
    assert!(text.contains("hanbit") && !text.contains("key-of"), "{text}");
    assert!(text.contains("KeyDigest(..)"), "{text}");
}

#[test]
fn decode_config_reads_limits() {
    let parts = decode_config(&keyed_config(1), &hasher()).expect("it is valid");
    let limits: Vec<_> = parts.organisations.iter().map(|org| org.limit).collect();
    assert_eq!(limits[0], None);
    let limit = limits[1].expect("it has one");
    assert_eq!(
        (limit.rate, limit.burst, limit.unit),
        (10.0, 800.0, LimitUnit::Tokens { plain: 20 })
    );
    assert_eq!((limit.cost(Some(5280)), limit.cost(None)), (5280, 20));
}

#[rstest]
#[case::unit("unit", serde_json::json!("bushels"), "the unknown unit \"bushels\"")]
#[case::rate("rate_per_s", serde_json::json!(-1), "a limit that is not a finite non-negative number")]
#[case::burst("burst", serde_json::json!(-0.5), "a limit that is not a finite non-negative number")]
#[case::name("name", serde_json::json!(""), "invalid organisation name")]
#[case::header("name", serde_json::json!("a\nb"), "invalid organisation name")]
fn decode_config_rejects(
    #[case] field: &str,
    #[case] value: serde_json::Value,
    #[case] expected: &str,
) {
    let mut config = keyed_config(1);
    config["tenants"][1][field] = value;
    let error = decode_config(&config, &hasher()).expect_err("it is wrong").to_string();
    assert!(error.contains(expected), "{error}");
}

#[test]
fn directory_rejects_shared_key() {
    let keys = vec![hasher().digest("same")];
    let organisation = |name: &str| {
        Arc::new(Organisation {
            name: name.to_owned(),
            priority: 0,
            keys: keys.clone(),
            limit: None,
        })
    };
    let two = [organisation("hanbit"), organisation("moonbook")];
    let error = OrgDirectory::try_from(&two[..]).expect_err("it is wrong").to_string();
    assert!(error.contains("\"hanbit\" and \"moonbook\" have a key in common"), "{error}");
    let duplicates = [organisation("hanbit"), organisation("hanbit")];
    assert!(OrgDirectory::try_from(&duplicates[..]).is_err());
}

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

#[test]
fn age_counts_from_the_request() {
    let mut age = ConfigAge::default();
    assert_eq!(age.age(at(1000)), Duration::MAX);
    let request = age.next_request(at(1000));
    // The reply stayed in a buffer for 4 s while this host was suspended.
    age.apply_reply(AgeReply { sequence: request.sequence, version: 7, age_ms: 300 }, 7);
    assert_eq!(age.age(at(5000)), Duration::from_millis(4300));
}

#[test]
fn unsolicited_age_is_ignored() {
    let mut age = ConfigAge::default();
    let request = age.next_request(at(1000));
    let reply = AgeReply { sequence: request.sequence, version: 7, age_ms: 300 };
    age.apply_reply(AgeReply { sequence: request.sequence + 1, ..reply }, 7);
    assert_eq!(age.age(at(1100)), Duration::MAX);
    age.apply_reply(reply, 7);
    let first_age = age.age(at(2000));
    // A duplicated reply is ignored.
    age.apply_reply(AgeReply { age_ms: 0, ..reply }, 7);
    assert_eq!(age.age(at(2000)), first_age);
}

#[test]
fn age_of_a_newer_configuration_does_not_count() {
    let mut age = ConfigAge::default();
    let request = age.next_request(at(1000));
    age.apply_reply(AgeReply { sequence: request.sequence, version: 8, age_ms: 10 }, 7);
    assert_eq!(age.age(at(1100)), Duration::MAX);
    let request = age.next_request(at(1200));
    age.apply_reply(AgeReply { sequence: request.sequence, version: 6, age_ms: 10 }, 7);
    assert_eq!(age.age(at(1300)), Duration::from_millis(110));
}

#[test]
fn reply_never_understates_an_age() {
    let mut age = ConfigAge::default();
    let request = ConfigAge::default().next_request(at(0));
    assert_eq!(age.reply(at(500), request, 7), None);
    age.record_complete(at(400));
    let reply = age.reply(at(500), request, 7).expect("the age is known");
    assert!(Duration::from_millis(reply.age_ms.into()) >= age.age(at(500)));
    // An earlier time does not increase the age.
    age.record_complete(at(300));
    assert_eq!(age.age(at(500)), Duration::from_millis(100));
}

#[rstest]
#[case::at_once(1000, false)]
#[case::late(1400, true)]
fn request_unanswered_after_a_while(#[case] now_ms: u64, #[case] expected: bool) {
    let mut age = ConfigAge::default();
    age.next_request(at(1000));
    assert_eq!(age.has_unanswered_request(at(now_ms), Duration::from_millis(300)), expected);
}
