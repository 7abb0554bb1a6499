/*
 * Field tables of the messages, one per type.
 *
 * Encoding, decoding, freeing and copying are driven by these tables, so that
 * a new struct field needs one entry here and no other code. Fields are
 * positional on the wire: a new field is appended, and AUB_PROTOCOL_VERSION
 * is incremented.
 */
#include <auburnstile/internal/message_fields.h>

#define NAME_BYTES_MAX 64
#define ADDRESS_BYTES_MAX 64
#define PATH_BYTES_MAX 8192
#define HEADER_BYTES_MAX 16384
#define HEADERS_MAX 256 /* per message */
#define AGES_BYTES_MAX ((gsize)6 * MEMBERS_MAX) /* 6 per member */
#define MEMBERS_MAX 1024
#define SERVICES_MAX 4096
#define UPSTREAMS_MAX 4096 /* per service */
#define KEYS_PER_PART_MAX 4096 /* see struct aub_keys */
#define CRASHES_MAX 1024
#define OUTSTANDING_MAX 4096 /* requests per service and gateway */
#define OBJECT_BYTES_MAX (1u << 20) /* the store's limit of 1 MiB */
#define WORKSPACE_BYTES_MAX 255
#define QUOTAS_MAX 1024 /* per message */
#define ROUTES_MAX 64 /* per service, in rollout evidence */
#define BODY_BYTES_MAX (8u << 20)

#define NAMED_FIELD(kind_, struct_, member_, name_, limit_, element_)         \
	{                                                                     \
		.kind = (kind_), .offset = offsetof(struct struct_, member_), \
		.name = (name_), .limit = (limit_), .element = (element_)     \
	}
#define FIELD(kind_, struct_, member_, limit_, element_) \
	NAMED_FIELD(kind_, struct_, member_, #member_, limit_, element_)
#define END                            \
	{                              \
		.kind = AUBI_FIELD_END \
	}
#define U64(s, m) FIELD(AUBI_FIELD_U64, s, m, 0, NULL)
#define U32(s, m) FIELD(AUBI_FIELD_U32, s, m, 0, NULL)
#define BOOL(s, m) FIELD(AUBI_FIELD_BOOL, s, m, 0, NULL)
/* Fields whose name in decoding errors differs from the member. */
#define U64_AS(s, m, name_) NAMED_FIELD(AUBI_FIELD_U64, s, m, name_, 0, NULL)
#define U32_AS(s, m, name_) NAMED_FIELD(AUBI_FIELD_U32, s, m, name_, 0, NULL)
#define BOOL_AS(s, m, name_) NAMED_FIELD(AUBI_FIELD_BOOL, s, m, name_, 0, NULL)
#define ENUM(s, m, limit) FIELD(AUBI_FIELD_ENUM, s, m, limit, NULL)
#define STRING(s, m, limit) FIELD(AUBI_FIELD_STRING, s, m, limit, NULL)
#define BYTES(s, m, limit) FIELD(AUBI_FIELD_BYTES, s, m, limit, NULL)
#define LIST(s, m, limit, of) FIELD(AUBI_FIELD_LIST, s, m, limit, of)

#define LAYOUT(name_, struct_, fields_)                          \
	{                                                        \
		.name = (name_), .size = sizeof(struct struct_), \
		.fields = (fields_)                              \
	}

static const struct aubi_field header_fields[] = {
	STRING(aub_header, name, HEADER_BYTES_MAX),
	STRING(aub_header, value, HEADER_BYTES_MAX),
	END,
};

const struct aubi_layout aubi_header_layout =
	LAYOUT("header", aub_header, header_fields);

static const struct aubi_field member_fields[] = {
	STRING(aub_member, name, NAME_BYTES_MAX),
	STRING(aub_member, zone, NAME_BYTES_MAX),
	ENUM(aub_member, state, AUB_MEMBER_STOPPED),
	U64(aub_member, incarnation),
	U64(aub_member, control_incarnation),
	STRING(aub_member, callers_address, ADDRESS_BYTES_MAX),
	STRING(aub_member, inner_address, ADDRESS_BYTES_MAX),
	STRING(aub_member, control_address, ADDRESS_BYTES_MAX),
	STRING(aub_member, entry_admin, ADDRESS_BYTES_MAX),
	STRING(aub_member, control_admin, ADDRESS_BYTES_MAX),
	U64_AS(aub_member, successor, "heir"),
	U32(aub_member, age_ms),
	U64(aub_member, config_version),
	U32(aub_member, load_permille),
	U64(aub_member, revision),
	END,
};

const struct aubi_layout aubi_member_layout =
	LAYOUT("member", aub_member, member_fields);

static const struct aubi_field assignment_fields[] = {
	STRING(aub_assignment, service, NAME_BYTES_MAX),
	STRING(aub_assignment, owner, NAME_BYTES_MAX),
	U64(aub_assignment, owner_incarnation),
	STRING(aub_assignment, standby, NAME_BYTES_MAX),
	U64(aub_assignment, standby_incarnation),
	U64(aub_assignment, epoch),
	END,
};

const struct aubi_layout aubi_assignment_layout =
	LAYOUT("assignment", aub_assignment, assignment_fields);

static const struct aubi_field key_record_fields[] = {
	STRING(aub_key_record, key, HEADER_BYTES_MAX),
	BYTES(aub_key_record, fingerprint, NAME_BYTES_MAX),
	U32_AS(aub_key_record, ttl_ms, "keep_ms"),
	ENUM(aub_key_record, outcome, AUB_OUTCOME_UNKNOWN),
	U32(aub_key_record, status),
	LIST(aub_key_record, headers, HEADERS_MAX, &aubi_header_layout),
	BYTES(aub_key_record, body, BODY_BYTES_MAX),
	BOOL_AS(aub_key_record, payload_discarded, "stripped"),
	END,
};

const struct aubi_layout aubi_key_record_layout =
	LAYOUT("key record", aub_key_record, key_record_fields);

static const struct aubi_field upstream_state_fields[] = {
	STRING(aub_upstream_state, name, NAME_BYTES_MAX),
	U64(aub_upstream_state, boot_id),
	BOOL(aub_upstream_state, cold),
	BOOL(aub_upstream_state, draining),
	U32(aub_upstream_state, age_ms),
	U32(aub_upstream_state, mean_us),
	END,
};

const struct aubi_layout aubi_upstream_state_layout =
	LAYOUT("upstream state", aub_upstream_state, upstream_state_fields);

static const struct aubi_field hello_fields[] = {
	ENUM(aub_hello, role, AUB_ROLE_CONTROL),
	STRING(aub_hello, name, NAME_BYTES_MAX),
	STRING(aub_hello, zone, NAME_BYTES_MAX),
	U64(aub_hello, incarnation),
	STRING(aub_hello, address, ADDRESS_BYTES_MAX),
	STRING(aub_hello, callers_address, ADDRESS_BYTES_MAX),
	STRING(aub_hello, admin_address, ADDRESS_BYTES_MAX),
	END,
};

static const struct aubi_field ping_fields[] = {
	U64(aub_ping, number),
	END,
};

static const struct aubi_field view_fields[] = {
	U64(aub_view, config_version),
	BYTES(aub_view, config, OBJECT_BYTES_MAX),
	U64(aub_view, epoch),
	LIST(aub_view, assignments, SERVICES_MAX, &aubi_assignment_layout),
	LIST(aub_view, members, MEMBERS_MAX, &aubi_member_layout),
	BOOL(aub_view, serve),
	U32(aub_view, serve_ms),
	U64(aub_view, echo),
	END,
};

static const struct aubi_field view_ack_fields[] = {
	U64(aub_view_ack, config_version),
	U64(aub_view_ack, epoch),
	U32(aub_view_ack, load_permille),
	BOOL(aub_view_ack, stopping),
	U64_AS(aub_view_ack, successor, "heir"),
	U64(aub_view_ack, number),
	END,
};

static const struct aubi_field gossip_fields[] = {
	U64(aub_gossip, config_version),
	U64(aub_gossip, epoch),
	BOOL(aub_gossip, store_reachable),
	U32(aub_gossip, fresh_ms),
	LIST(aub_gossip, members, MEMBERS_MAX, &aubi_member_layout),
	U64(aub_gossip, number),
	U64(aub_gossip, echo),
	U64(aub_gossip, roster),
	U32_AS(aub_gossip, member_count, "known"),
	BYTES(aub_gossip, ages, AGES_BYTES_MAX),
	END,
};

static const struct aubi_field config_pull_fields[] = {
	U64(aub_config_pull, config_version),
	U64(aub_config_pull, epoch),
	END,
};

static const struct aubi_field config_push_fields[] = {
	U64(aub_config_push, config_version),
	BYTES(aub_config_push, config, OBJECT_BYTES_MAX),
	U64(aub_config_push, epoch),
	BYTES(aub_config_push, assignments, OBJECT_BYTES_MAX),
	END,
};

static const struct aubi_field call_fields[] = {
	U64(aub_call, id),
	ENUM(aub_call, purpose, AUB_CALL_OWNER),
	U64(aub_call, receiver),
	STRING(aub_call, service, NAME_BYTES_MAX),
	BOOL_AS(aub_call, at_most_once, "once"),
	STRING(aub_call, key, HEADER_BYTES_MAX),
	U32(aub_call, deadline_ms),
	U32(aub_call, retry_budget),
	STRING(aub_call, method, NAME_BYTES_MAX),
	STRING(aub_call, path, PATH_BYTES_MAX),
	LIST(aub_call, headers, HEADERS_MAX, &aubi_header_layout),
	BYTES(aub_call, body, BODY_BYTES_MAX),
	END,
};

static const struct aubi_field answer_fields[] = {
	U64(aub_answer, id),
	ENUM(aub_answer, outcome, AUB_OUTCOME_UNKNOWN),
	U32(aub_answer, status),
	U32(aub_answer, retry_after_ms),
	STRING(aub_answer, reason, HEADER_BYTES_MAX),
	LIST(aub_answer, headers, HEADERS_MAX, &aubi_header_layout),
	BYTES(aub_answer, body, BODY_BYTES_MAX),
	END,
};

static const struct aubi_field cancel_fields[] = {
	U64(aub_cancel, id),
	END,
};

static const struct aubi_field keys_fields[] = {
	U64(aub_keys, incarnation),
	U32(aub_keys, part),
	BOOL(aub_keys, last),
	LIST(aub_keys, records, KEYS_PER_PART_MAX, &aubi_key_record_layout),
	END,
};

static const struct aubi_field keys_ack_fields[] = {
	U64(aub_keys_ack, incarnation),
	U32(aub_keys_ack, part),
	END,
};

static const struct aubi_field crash_record_fields[] = {
	U64(aub_crash_record, fingerprint),
	U32_AS(aub_crash_record, crash_count, "deaths"),
	U32(aub_crash_record, age_ms),
	END,
};

const struct aubi_layout aubi_crash_record_layout =
	LAYOUT("crash record", aub_crash_record, crash_record_fields);

static const struct aubi_field upstream_states_fields[] = {
	STRING(aub_upstream_states, service, NAME_BYTES_MAX),
	LIST(aub_upstream_states, upstreams, UPSTREAMS_MAX,
	     &aubi_upstream_state_layout),
	LIST(aub_upstream_states, crashes, CRASHES_MAX,
	     &aubi_crash_record_layout),
	END,
};

static const struct aubi_field name_fields[] = {
	STRING(aub_name, name, NAME_BYTES_MAX),
	END,
};

const struct aubi_layout aubi_name_layout =
	LAYOUT("name", aub_name, name_fields);

static const struct aubi_field outstanding_fields[] = {
	U64(aub_outstanding, ticket),
	STRING(aub_outstanding, upstream, NAME_BYTES_MAX),
	U32(aub_outstanding, target_ms),
	END,
};

const struct aubi_layout aubi_outstanding_layout =
	LAYOUT("outstanding grant", aub_outstanding, outstanding_fields);

static const struct aubi_field probe_result_fields[] = {
	STRING(aub_reported_probe, upstream, NAME_BYTES_MAX),
	U32_AS(aub_reported_probe, result, "end"),
	U32(aub_reported_probe, load.running),
	U32(aub_reported_probe, load.waiting),
	U32(aub_reported_probe, load.slots),
	U32(aub_reported_probe, load.slowdown),
	U32(aub_reported_probe, load.warmup_ms),
	U32(aub_reported_probe, load.limit),
	U32(aub_reported_probe, load.limit_per_1000_s),
	BOOL(aub_reported_probe, load.leaving),
	END,
};

const struct aubi_layout aubi_probe_result_layout =
	LAYOUT("probed upstream", aub_reported_probe, probe_result_fields);

static const struct aubi_field place_probe_results_fields[] = {
	STRING(aub_place_probe_results, service, NAME_BYTES_MAX),
	LIST(aub_place_probe_results, probed, UPSTREAMS_MAX,
	     &aubi_probe_result_layout),
	END,
};

static const struct aubi_field place_health_row_fields[] = {
	STRING(aub_place_health_row, upstream, NAME_BYTES_MAX),
	BOOL(aub_place_health_row, down),
	BOOL(aub_place_health_row, unknown),
	U32(aub_place_health_row, cold_ms),
	U32(aub_place_health_row, slowdown),
	BOOL(aub_place_health_row, leaving),
	U64(aub_place_health_row, started_ms),
	END,
};

const struct aubi_layout aubi_place_health_row_layout =
	LAYOUT("health", aub_place_health_row, place_health_row_fields);

static const struct aubi_field place_limit_fields[] = {
	STRING(aub_place_limit, upstream, NAME_BYTES_MAX),
	U32(aub_place_limit, per_1000_s),
	U32(aub_place_limit, age_ms),
	END,
};

const struct aubi_layout aubi_place_limit_layout =
	LAYOUT("limit", aub_place_limit, place_limit_fields);

static const struct aubi_field place_evidence_fields[] = {
	U32(aub_place_evidence, route),
	U32(aub_place_evidence, answers),
	U32(aub_place_evidence, timed),
	U32(aub_place_evidence, failures),
	U32(aub_place_evidence, slow),
	U32(aub_place_evidence, slow_ms),
	U32(aub_place_evidence, strength[0]),
	U32(aub_place_evidence, strength[1]),
	U32(aub_place_evidence, strength[2]),
	U32(aub_place_evidence, strength[3]),
	U32(aub_place_evidence, rate[0]),
	U32(aub_place_evidence, rate[1]),
	U32(aub_place_evidence, rate[2]),
	U32(aub_place_evidence, rate[3]),
	END,
};

const struct aubi_layout aubi_place_evidence_layout =
	LAYOUT("evidence", aub_place_evidence, place_evidence_fields);

static const struct aubi_field heartbeat_fields[] = {
	U64(aub_heartbeat, incarnation),
	STRING(aub_heartbeat, name, NAME_BYTES_MAX),
	STRING(aub_heartbeat, zone, NAME_BYTES_MAX),
	STRING(aub_heartbeat, address, ADDRESS_BYTES_MAX),
	STRING(aub_heartbeat, callers_address, ADDRESS_BYTES_MAX),
	U32(aub_heartbeat, capacity),
	BOOL(aub_heartbeat, ready),
	BOOL(aub_heartbeat, stopping),
	U64(aub_heartbeat, config_version),
	U32(aub_heartbeat, peers),
	BOOL_AS(aub_heartbeat, reply_requested, "reply"),
	BOOL_AS(aub_heartbeat, store_current, "current"),
	BOOL_AS(aub_heartbeat, store_reachable, "hears"),
	U64(aub_heartbeat, revisions[0]),
	U64(aub_heartbeat, revisions[1]),
	U64(aub_heartbeat, revisions[2]),
	U64(aub_heartbeat, revisions[3]),
	BOOL(aub_heartbeat, egress_down),
	END,
};

static const struct aubi_field crashes_fields[] = {
	LIST(aub_crashes, crashes, CRASHES_MAX, &aubi_crash_record_layout),
	END,
};

static const struct aubi_field introduction_fields[] = {
	BYTES(aub_introduction, addresses, OBJECT_BYTES_MAX),
	END,
};

static const struct aubi_field store_changes_fields[] = {
	U32(aub_store_changes, kind),
	U64_AS(aub_store_changes, after_revision, "after"),
	U64_AS(aub_store_changes, until_revision, "until"),
	BYTES(aub_store_changes, body, OBJECT_BYTES_MAX),
	END,
};

static const struct aubi_field place_request_fields[] = {
	U64(aub_place_request, holder),
	U64(aub_place_request, ticket),
	STRING(aub_place_request, service, NAME_BYTES_MAX),
	STRING(aub_place_request, zone, NAME_BYTES_MAX),
	U32(aub_place_request, priority),
	U32(aub_place_request, target_ms),
	U32(aub_place_request, on_time_ms),
	U32_AS(aub_place_request, max_wait_ms, "patience_ms"),
	BOOL(aub_place_request, retry),
	BOOL(aub_place_request, forward),
	STRING(aub_place_request, address, ADDRESS_BYTES_MAX),
	LIST(aub_place_request, avoid, UPSTREAMS_MAX, &aubi_name_layout),
	LIST(aub_place_request, limits, UPSTREAMS_MAX,
	     &aubi_place_limit_layout),
	U32(aub_place_request, route),
	STRING(aub_place_request, workspace, WORKSPACE_BYTES_MAX),
	U64(aub_place_request, fingerprint),
	BOOL(aub_place_request, replaces),
	U32(aub_place_request, retry_credit),
	END,
};

static const struct aubi_field place_decision_fields[] = {
	U64(aub_place_decision, ticket),
	U64(aub_place_decision, placer),
	U32(aub_place_decision, verdict),
	STRING(aub_place_decision, upstream, NAME_BYTES_MAX),
	STRING(aub_place_decision, address, ADDRESS_BYTES_MAX),
	U32(aub_place_decision, retry_after_ms),
	U32(aub_place_decision, silent_after_ms),
	END,
};

static const struct aubi_field place_report_fields[] = {
	U64(aub_place_report, ticket),
	STRING(aub_place_report, service, NAME_BYTES_MAX),
	U32(aub_place_report, end),
	U64(aub_place_report, elapsed_us),
	U32(aub_place_report, load.running),
	U32(aub_place_report, load.waiting),
	U32(aub_place_report, load.slots),
	U32(aub_place_report, load.slowdown),
	U32(aub_place_report, load.warmup_ms),
	U32(aub_place_report, load.limit),
	U32(aub_place_report, load.limit_per_1000_s),
	BOOL(aub_place_report, load.leaving),
	END,
};

static const struct aubi_field place_outstanding_fields[] = {
	U64(aub_place_outstanding, holder),
	STRING(aub_place_outstanding, service, NAME_BYTES_MAX),
	LIST(aub_place_outstanding, grants, OUTSTANDING_MAX,
	     &aubi_outstanding_layout),
	END,
};

static const struct aubi_field place_health_fields[] = {
	STRING(aub_place_health, service, NAME_BYTES_MAX),
	BOOL(aub_place_health, relay),
	LIST(aub_place_health, rows, UPSTREAMS_MAX,
	     &aubi_place_health_row_layout),
	LIST(aub_place_health, limits, UPSTREAMS_MAX, &aubi_place_limit_layout),
	END,
};

static const struct aubi_field place_rollout_fields[] = {
	STRING(aub_place_rollout, service, NAME_BYTES_MAX),
	BOOL(aub_place_rollout, relay),
	STRING(aub_place_rollout, version, NAME_BYTES_MAX),
	U32(aub_place_rollout, duration_ms),
	U64(aub_place_rollout, created),
	U32(aub_place_rollout, age_ms),
	U32(aub_place_rollout, state),
	U64(aub_place_rollout, reached),
	U64(aub_place_rollout, exposed),
	U32(aub_place_rollout, allowance),
	LIST(aub_place_rollout, evidence, ROUTES_MAX,
	     &aubi_place_evidence_layout),
	END,
};

static const struct aubi_field quota_use_row_fields[] = {
	STRING(aub_quota_use_row, workspace, WORKSPACE_BYTES_MAX),
	U64(aub_quota_use_row, used),
	U32(aub_quota_use_row, recent),
	END,
};

const struct aubi_layout aubi_quota_use_row_layout =
	LAYOUT("quota use", aub_quota_use_row, quota_use_row_fields);

static const struct aubi_field quota_use_fields[] = {
	U64(aub_quota_use_message, origin),
	LIST(aub_quota_use_message, rows, QUOTAS_MAX,
	     &aubi_quota_use_row_layout),
	END,
};

static const struct aubi_layout layouts[AUB_MESSAGE_TYPE_COUNT] = {
	[AUB_MESSAGE_HELLO] = LAYOUT("hello", aub_hello, hello_fields),
	[AUB_MESSAGE_PING] = LAYOUT("ping", aub_ping, ping_fields),
	[AUB_MESSAGE_PONG] = LAYOUT("pong", aub_ping, ping_fields),
	[AUB_MESSAGE_VIEW] = LAYOUT("view", aub_view, view_fields),
	[AUB_MESSAGE_VIEW_ACK] =
		LAYOUT("view acknowledgement", aub_view_ack, view_ack_fields),
	[AUB_MESSAGE_GOSSIP] = LAYOUT("gossip", aub_gossip, gossip_fields),
	[AUB_MESSAGE_CONFIG_PULL] =
		LAYOUT("config pull", aub_config_pull, config_pull_fields),
	[AUB_MESSAGE_CONFIG] =
		LAYOUT("config", aub_config_push, config_push_fields),
	[AUB_MESSAGE_CALL] = LAYOUT("call", aub_call, call_fields),
	[AUB_MESSAGE_ANSWER] = LAYOUT("answer", aub_answer, answer_fields),
	[AUB_MESSAGE_CANCEL] = LAYOUT("cancel", aub_cancel, cancel_fields),
	[AUB_MESSAGE_KEYS] = LAYOUT("keys", aub_keys, keys_fields),
	[AUB_MESSAGE_KEYS_ACK] =
		LAYOUT("keys acknowledgement", aub_keys_ack, keys_ack_fields),
	[AUB_MESSAGE_UPSTREAM_STATES] =
		LAYOUT("states", aub_upstream_states, upstream_states_fields),
	[AUB_MESSAGE_HEARTBEAT] =
		LAYOUT("heartbeat", aub_heartbeat, heartbeat_fields),
	[AUB_MESSAGE_INTRODUCTION] =
		LAYOUT("introduction", aub_introduction, introduction_fields),
	[AUB_MESSAGE_CRASHES] = LAYOUT("crashes", aub_crashes, crashes_fields),
	[AUB_MESSAGE_STORE_CHANGES] = LAYOUT("store changes", aub_store_changes,
					     store_changes_fields),
	[AUB_MESSAGE_PLACE_REQUEST] =
		LAYOUT("place ask", aub_place_request, place_request_fields),
	[AUB_MESSAGE_PLACE_DECISION] =
		LAYOUT("place decision", aub_place_decision,
		       place_decision_fields),
	[AUB_MESSAGE_PLACE_REPORT] =
		LAYOUT("place report", aub_place_report, place_report_fields),
	[AUB_MESSAGE_PLACE_OUTSTANDING] =
		LAYOUT("place outstanding", aub_place_outstanding,
		       place_outstanding_fields),
	[AUB_MESSAGE_PLACE_PROBE_RESULTS] =
		LAYOUT("place probed", aub_place_probe_results,
		       place_probe_results_fields),
	[AUB_MESSAGE_PLACE_HEALTH] =
		LAYOUT("place health", aub_place_health, place_health_fields),
	[AUB_MESSAGE_PLACE_ROLLOUT] = LAYOUT("place rollout", aub_place_rollout,
					     place_rollout_fields),
	[AUB_MESSAGE_QUOTA_USE] =
		LAYOUT("quota use", aub_quota_use_message, quota_use_fields),
};

const struct aubi_layout *aubi_message_layout(guint64 type)
{
	if (type >= AUB_MESSAGE_TYPE_COUNT || !layouts[type].name)
		return NULL;
	return &layouts[type];
}

guint aubi_layout_count(const struct aubi_layout *layout)
{
	guint count = 0;

	while (layout->fields[count].kind != AUBI_FIELD_END)
		count++;
	return count;
}
