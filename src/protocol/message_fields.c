/*
 * The messages' fields, one table a type.
 *
 * Encoder, decoder, free and copy all walk these tables, so that a field
 * added to a struct needs one row here and nothing else. Rows are positional
 * on the wire: a new field goes to the end and raises AUB_PROTOCOL_VERSION.
 */
#include <auburnstile/internal/message_fields.h>

#define NAME_LIMIT 64
#define ADDRESS_LIMIT 64
#define PATH_LIMIT 8192
#define HEADER_LIMIT 16384
#define HEADERS_LIMIT 256 /* headers a message */
#define AGES_LIMIT ((gsize)6 * MEMBERS_LIMIT) /* bytes */
#define MEMBERS_LIMIT 1024
#define SERVICES_LIMIT 4096
#define UPSTREAMS_LIMIT 4096 /* of one service */
#define KEYS_LIMIT 4096 /* keys a part */
#define CRASHES_LIMIT 1024
#define ATTEMPTS_LIMIT 64 /* upstreams one request was sent to */
#define OUTSTANDING_LIMIT 4096 /* requests of one service at one gateway */
#define OBJECT_LIMIT (1u << 20) /* the store's megabyte */
#define ROUTES_LIMIT 64 /* of one service, in what is told of an order */
#define BODY_LIMIT (8u << 20)

#define FIELD(kind_, struct_, member_, limit_, element_)                      \
	{                                                                     \
		.kind = (kind_), .offset = offsetof(struct struct_, member_), \
		.name = #member_, .limit = (limit_), .element = (element_)    \
	}
#define END                            \
	{                              \
		.kind = AUBI_FIELD_END \
	}
#define NUMBER(s, m) FIELD(AUBI_FIELD_U64, s, m, 0, NULL)
#define NUMBER32(s, m) FIELD(AUBI_FIELD_U32, s, m, 0, NULL)
#define FLAG(s, m) FIELD(AUBI_FIELD_BOOL, s, m, 0, NULL)
#define CHOICE(s, m, most) FIELD(AUBI_FIELD_ENUM, s, m, most, NULL)
#define STRING(s, m, most) FIELD(AUBI_FIELD_STRING, s, m, most, NULL)
#define BYTES(s, m, most) FIELD(AUBI_FIELD_BYTES, s, m, most, NULL)
#define LIST(s, m, most, of) FIELD(AUBI_FIELD_LIST, s, m, most, of)

#define LAYOUT(text, struct_, fields_)                          \
	{                                                       \
		.name = (text), .size = sizeof(struct struct_), \
		.fields = (fields_)                             \
	}

static const struct aubi_field header_fields[] = {
	STRING(aub_header, name, HEADER_LIMIT),
	STRING(aub_header, value, HEADER_LIMIT),
	END,
};

const struct aubi_layout aubi_header_layout =
	LAYOUT("header", aub_header, header_fields);

static const struct aubi_field member_fields[] = {
	STRING(aub_member, name, NAME_LIMIT),
	STRING(aub_member, zone, NAME_LIMIT),
	CHOICE(aub_member, state, AUB_MEMBER_STOPPED),
	NUMBER(aub_member, incarnation),
	NUMBER(aub_member, control_incarnation),
	STRING(aub_member, callers_address, ADDRESS_LIMIT),
	STRING(aub_member, inner_address, ADDRESS_LIMIT),
	STRING(aub_member, control_address, ADDRESS_LIMIT),
	STRING(aub_member, entry_admin, ADDRESS_LIMIT),
	STRING(aub_member, control_admin, ADDRESS_LIMIT),
	NUMBER(aub_member, successor),
	NUMBER32(aub_member, age_ms),
	NUMBER(aub_member, config_version),
	NUMBER32(aub_member, load_permille),
	NUMBER(aub_member, revision),
	END,
};

const struct aubi_layout aubi_member_layout =
	LAYOUT("member", aub_member, member_fields);

static const struct aubi_field assignment_fields[] = {
	STRING(aub_assignment, service, NAME_LIMIT),
	STRING(aub_assignment, owner, NAME_LIMIT),
	NUMBER(aub_assignment, owner_incarnation),
	STRING(aub_assignment, standby, NAME_LIMIT),
	NUMBER(aub_assignment, standby_incarnation),
	NUMBER(aub_assignment, epoch),
	END,
};

const struct aubi_layout aubi_assignment_layout =
	LAYOUT("assignment", aub_assignment, assignment_fields);

static const struct aubi_field key_record_fields[] = {
	STRING(aub_key_record, key, HEADER_LIMIT),
	BYTES(aub_key_record, fingerprint, NAME_LIMIT),
	NUMBER32(aub_key_record, ttl_ms),
	CHOICE(aub_key_record, outcome, AUB_OUTCOME_UNKNOWN),
	NUMBER32(aub_key_record, status),
	LIST(aub_key_record, headers, HEADERS_LIMIT, &aubi_header_layout),
	BYTES(aub_key_record, body, BODY_LIMIT),
	FLAG(aub_key_record, stripped),
	END,
};

const struct aubi_layout aubi_key_record_layout =
	LAYOUT("key record", aub_key_record, key_record_fields);

static const struct aubi_field upstream_state_fields[] = {
	STRING(aub_upstream_state, name, NAME_LIMIT),
	NUMBER(aub_upstream_state, boot_id),
	FLAG(aub_upstream_state, cold),
	FLAG(aub_upstream_state, draining),
	NUMBER32(aub_upstream_state, age_ms),
	NUMBER32(aub_upstream_state, mean_us),
	END,
};

const struct aubi_layout aubi_upstream_state_layout =
	LAYOUT("upstream state", aub_upstream_state, upstream_state_fields);

static const struct aubi_field hello_fields[] = {
	CHOICE(aub_hello, role, AUB_ROLE_CONTROL),
	STRING(aub_hello, name, NAME_LIMIT),
	STRING(aub_hello, zone, NAME_LIMIT),
	NUMBER(aub_hello, incarnation),
	STRING(aub_hello, address, ADDRESS_LIMIT),
	STRING(aub_hello, callers_address, ADDRESS_LIMIT),
	STRING(aub_hello, admin_address, ADDRESS_LIMIT),
	END,
};

static const struct aubi_field ping_fields[] = {
	NUMBER(aub_ping, number),
	END,
};

static const struct aubi_field view_fields[] = {
	NUMBER(aub_view, config_version),
	BYTES(aub_view, config, OBJECT_LIMIT),
	NUMBER(aub_view, epoch),
	LIST(aub_view, assignments, SERVICES_LIMIT, &aubi_assignment_layout),
	LIST(aub_view, members, MEMBERS_LIMIT, &aubi_member_layout),
	FLAG(aub_view, serve),
	NUMBER32(aub_view, serve_ms),
	NUMBER(aub_view, echo),
	END,
};

static const struct aubi_field view_ack_fields[] = {
	NUMBER(aub_view_ack, config_version),
	NUMBER(aub_view_ack, epoch),
	NUMBER32(aub_view_ack, load_permille),
	FLAG(aub_view_ack, stopping),
	NUMBER(aub_view_ack, successor),
	NUMBER(aub_view_ack, number),
	END,
};

static const struct aubi_field gossip_fields[] = {
	NUMBER(aub_gossip, config_version),
	NUMBER(aub_gossip, epoch),
	FLAG(aub_gossip, store_reachable),
	NUMBER32(aub_gossip, fresh_ms),
	LIST(aub_gossip, members, MEMBERS_LIMIT, &aubi_member_layout),
	NUMBER(aub_gossip, number),
	NUMBER(aub_gossip, echo),
	NUMBER(aub_gossip, roster),
	NUMBER32(aub_gossip, member_count),
	BYTES(aub_gossip, ages, AGES_LIMIT),
	END,
};

static const struct aubi_field config_pull_fields[] = {
	NUMBER(aub_config_pull, config_version),
	NUMBER(aub_config_pull, epoch),
	END,
};

static const struct aubi_field config_push_fields[] = {
	NUMBER(aub_config_push, config_version),
	BYTES(aub_config_push, config, OBJECT_LIMIT),
	NUMBER(aub_config_push, epoch),
	BYTES(aub_config_push, assignments, OBJECT_LIMIT),
	END,
};

static const struct aubi_field call_fields[] = {
	NUMBER(aub_call, id),
	CHOICE(aub_call, purpose, AUB_CALL_OWNER),
	NUMBER(aub_call, receiver),
	STRING(aub_call, service, NAME_LIMIT),
	FLAG(aub_call, once),
	STRING(aub_call, key, HEADER_LIMIT),
	NUMBER32(aub_call, deadline_ms),
	NUMBER32(aub_call, retry_budget),
	STRING(aub_call, method, NAME_LIMIT),
	STRING(aub_call, path, PATH_LIMIT),
	LIST(aub_call, headers, HEADERS_LIMIT, &aubi_header_layout),
	BYTES(aub_call, body, BODY_LIMIT),
	END,
};

static const struct aubi_field answer_fields[] = {
	NUMBER(aub_answer, id),
	CHOICE(aub_answer, outcome, AUB_OUTCOME_UNKNOWN),
	NUMBER32(aub_answer, status),
	NUMBER32(aub_answer, retry_after_ms),
	STRING(aub_answer, reason, HEADER_LIMIT),
	LIST(aub_answer, headers, HEADERS_LIMIT, &aubi_header_layout),
	BYTES(aub_answer, body, BODY_LIMIT),
	END,
};

static const struct aubi_field cancel_fields[] = {
	NUMBER(aub_cancel, id),
	END,
};

static const struct aubi_field keys_fields[] = {
	NUMBER(aub_keys, incarnation),
	NUMBER32(aub_keys, part),
	FLAG(aub_keys, last),
	LIST(aub_keys, records, KEYS_LIMIT, &aubi_key_record_layout),
	END,
};

static const struct aubi_field keys_ack_fields[] = {
	NUMBER(aub_keys_ack, incarnation),
	NUMBER32(aub_keys_ack, part),
	END,
};

static const struct aubi_field crash_record_fields[] = {
	NUMBER(aub_crash_record, fingerprint),
	NUMBER32(aub_crash_record, deaths),
	NUMBER32(aub_crash_record, age_ms),
	END,
};

const struct aubi_layout aubi_crash_record_layout =
	LAYOUT("crash record", aub_crash_record, crash_record_fields);

static const struct aubi_field states_fields[] = {
	STRING(aub_upstream_states, service, NAME_LIMIT),
	LIST(aub_upstream_states, upstreams, UPSTREAMS_LIMIT,
	     &aubi_upstream_state_layout),
	LIST(aub_upstream_states, crashes, CRASHES_LIMIT, &aubi_crash_record_layout),
	END,
};

static const struct aubi_field name_fields[] = {
	STRING(aub_name, name, NAME_LIMIT),
	END,
};

const struct aubi_layout aubi_name_layout =
	LAYOUT("name", aub_name, name_fields);

static const struct aubi_field outstanding_fields[] = {
	NUMBER(aub_outstanding, ticket),
	STRING(aub_outstanding, upstream, NAME_LIMIT),
	NUMBER32(aub_outstanding, target_ms),
	END,
};

const struct aubi_layout aubi_outstanding_layout =
	LAYOUT("outstanding grant", aub_outstanding, outstanding_fields);

static const struct aubi_field probed_fields[] = {
	STRING(aub_probe_result, upstream, NAME_LIMIT),
	NUMBER32(aub_probe_result, end),
	NUMBER32(aub_probe_result, load.running),
	NUMBER32(aub_probe_result, load.waiting),
	NUMBER32(aub_probe_result, load.slots),
	NUMBER32(aub_probe_result, load.slowdown),
	NUMBER32(aub_probe_result, load.warmup_ms),
	END,
};

const struct aubi_layout aubi_probe_result_layout =
	LAYOUT("probed upstream", aub_probe_result, probed_fields);

static const struct aubi_field place_probed_fields[] = {
	STRING(aub_place_probe_results, service, NAME_LIMIT),
	LIST(aub_place_probe_results, probed, UPSTREAMS_LIMIT, &aubi_probe_result_layout),
	END,
};

static const struct aubi_field place_health_row_fields[] = {
	STRING(aub_place_health_row, upstream, NAME_LIMIT),
	FLAG(aub_place_health_row, down),
	FLAG(aub_place_health_row, unknown),
	NUMBER32(aub_place_health_row, cold_ms),
	NUMBER32(aub_place_health_row, slowdown),
	END,
};

const struct aubi_layout aubi_place_health_row_layout =
	LAYOUT("health", aub_place_health_row, place_health_row_fields);

static const struct aubi_field place_evidence_fields[] = {
	NUMBER32(aub_place_evidence, route),
	NUMBER32(aub_place_evidence, answers),
	NUMBER32(aub_place_evidence, timed),
	NUMBER32(aub_place_evidence, failures),
	NUMBER32(aub_place_evidence, slow),
	NUMBER32(aub_place_evidence, slow_ms),
	NUMBER32(aub_place_evidence, strength[0]),
	NUMBER32(aub_place_evidence, strength[1]),
	NUMBER32(aub_place_evidence, strength[2]),
	NUMBER32(aub_place_evidence, strength[3]),
	NUMBER32(aub_place_evidence, rate[0]),
	NUMBER32(aub_place_evidence, rate[1]),
	NUMBER32(aub_place_evidence, rate[2]),
	NUMBER32(aub_place_evidence, rate[3]),
	END,
};

const struct aubi_layout aubi_place_evidence_layout =
	LAYOUT("evidence", aub_place_evidence, place_evidence_fields);

static const struct aubi_field heartbeat_fields[] = {
	NUMBER(aub_heartbeat, incarnation),
	STRING(aub_heartbeat, name, NAME_LIMIT),
	STRING(aub_heartbeat, zone, NAME_LIMIT),
	STRING(aub_heartbeat, address, ADDRESS_LIMIT),
	STRING(aub_heartbeat, callers_address, ADDRESS_LIMIT),
	NUMBER32(aub_heartbeat, capacity),
	FLAG(aub_heartbeat, ready),
	FLAG(aub_heartbeat, stopping),
	NUMBER(aub_heartbeat, config_version),
	NUMBER32(aub_heartbeat, peers),
	FLAG(aub_heartbeat, reply_requested),
	FLAG(aub_heartbeat, current),
	FLAG(aub_heartbeat, hears),
	NUMBER(aub_heartbeat, revisions[0]),
	NUMBER(aub_heartbeat, revisions[1]),
	NUMBER(aub_heartbeat, revisions[2]),
	NUMBER(aub_heartbeat, revisions[3]),
	END,
};

static const struct aubi_field crashes_fields[] = {
	LIST(aub_crashes, crashes, CRASHES_LIMIT, &aubi_crash_record_layout),
	END,
};

static const struct aubi_field introduction_fields[] = {
	BYTES(aub_introduction, addresses, OBJECT_LIMIT),
	END,
};

static const struct aubi_field store_changes_fields[] = {
	NUMBER32(aub_store_changes, kind),
	NUMBER(aub_store_changes, after),
	NUMBER(aub_store_changes, until),
	BYTES(aub_store_changes, body, OBJECT_LIMIT),
	END,
};

static const struct aubi_field place_ask_fields[] = {
	NUMBER(aub_place_request, holder),
	NUMBER(aub_place_request, ticket),
	STRING(aub_place_request, service, NAME_LIMIT),
	STRING(aub_place_request, zone, NAME_LIMIT),
	NUMBER32(aub_place_request, priority),
	NUMBER32(aub_place_request, target_ms),
	NUMBER32(aub_place_request, on_time_ms),
	NUMBER32(aub_place_request, max_wait_ms),
	FLAG(aub_place_request, retry),
	FLAG(aub_place_request, forward),
	STRING(aub_place_request, address, ADDRESS_LIMIT),
	LIST(aub_place_request, avoid, ATTEMPTS_LIMIT, &aubi_name_layout),
	NUMBER32(aub_place_request, route),
	END,
};

static const struct aubi_field place_decision_fields[] = {
	NUMBER(aub_place_decision, ticket),
	NUMBER(aub_place_decision, placer),
	NUMBER32(aub_place_decision, verdict),
	STRING(aub_place_decision, upstream, NAME_LIMIT),
	STRING(aub_place_decision, address, ADDRESS_LIMIT),
	NUMBER32(aub_place_decision, retry_after_ms),
	END,
};

static const struct aubi_field place_report_fields[] = {
	NUMBER(aub_place_report, ticket),
	STRING(aub_place_report, service, NAME_LIMIT),
	NUMBER32(aub_place_report, end),
	NUMBER(aub_place_report, elapsed_us),
	NUMBER32(aub_place_report, load.running),
	NUMBER32(aub_place_report, load.waiting),
	NUMBER32(aub_place_report, load.slots),
	NUMBER32(aub_place_report, load.slowdown),
	NUMBER32(aub_place_report, load.warmup_ms),
	END,
};

static const struct aubi_field place_outstanding_fields[] = {
	NUMBER(aub_place_outstanding, holder),
	STRING(aub_place_outstanding, service, NAME_LIMIT),
	LIST(aub_place_outstanding, grants, OUTSTANDING_LIMIT,
	     &aubi_outstanding_layout),
	END,
};

static const struct aubi_field place_health_fields[] = {
	STRING(aub_place_health, service, NAME_LIMIT),
	FLAG(aub_place_health, relay),
	LIST(aub_place_health, rows, UPSTREAMS_LIMIT,
	     &aubi_place_health_row_layout),
	END,
};

static const struct aubi_field place_rollout_fields[] = {
	STRING(aub_place_rollout, service, NAME_LIMIT),
	FLAG(aub_place_rollout, relay),
	STRING(aub_place_rollout, version, NAME_LIMIT),
	NUMBER32(aub_place_rollout, duration_ms),
	NUMBER(aub_place_rollout, created),
	NUMBER32(aub_place_rollout, age_ms),
	NUMBER32(aub_place_rollout, state),
	NUMBER(aub_place_rollout, reached),
	NUMBER(aub_place_rollout, exposed),
	NUMBER32(aub_place_rollout, allowance),
	LIST(aub_place_rollout, evidence, ROUTES_LIMIT,
	     &aubi_place_evidence_layout),
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
	[AUB_MESSAGE_UPSTREAM_STATES] = LAYOUT("states", aub_upstream_states, states_fields),
	[AUB_MESSAGE_HEARTBEAT] =
		LAYOUT("heartbeat", aub_heartbeat, heartbeat_fields),
	[AUB_MESSAGE_INTRODUCTION] =
		LAYOUT("introduction", aub_introduction, introduction_fields),
	[AUB_MESSAGE_CRASHES] = LAYOUT("crashes", aub_crashes, crashes_fields),
	[AUB_MESSAGE_STORE_CHANGES] = LAYOUT("store changes", aub_store_changes,
					     store_changes_fields),
	[AUB_MESSAGE_PLACE_REQUEST] =
		LAYOUT("place ask", aub_place_request, place_ask_fields),
	[AUB_MESSAGE_PLACE_DECISION] =
		LAYOUT("place decision", aub_place_decision,
		       place_decision_fields),
	[AUB_MESSAGE_PLACE_REPORT] =
		LAYOUT("place report", aub_place_report, place_report_fields),
	[AUB_MESSAGE_PLACE_OUTSTANDING] =
		LAYOUT("place outstanding", aub_place_outstanding,
		       place_outstanding_fields),
	[AUB_MESSAGE_PLACE_PROBE_RESULTS] =
		LAYOUT("place probed", aub_place_probe_results, place_probed_fields),
	[AUB_MESSAGE_PLACE_HEALTH] =
		LAYOUT("place health", aub_place_health, place_health_fields),
	[AUB_MESSAGE_PLACE_ROLLOUT] = LAYOUT("place rollout", aub_place_rollout,
					     place_rollout_fields),
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
