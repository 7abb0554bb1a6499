/*
 * The hub of a control: owns the shared state and notifies the tasks when it
 * changes.
 */
#include <auburnstile/error.h>
#include <auburnstile/incarnation.h>
#include <auburnstile/internal/control.h>
#include <auburnstile/log.h>

#include <string.h>

#define TICK_INTERVAL_US ((gint64)100000)
#define METRICS_INTERVAL_US ((gint64)1000000)
/* Time for gossip to spread the state STOPPED. */
#define STOP_ANNOUNCE_US ((gint64)500000)
/* If the entry has not begun to stop by then, only the control stops. */
#define CONTROL_ONLY_STOP_US ((gint64)2000000)

struct aubi_member_last_state {
	enum aub_member_state state;
	guint64 incarnation;
};

const char *aubi_control_region(const struct aubi_control *control,
				const char *zone)
{
	guint16 handle;

	if (!control->inventory)
		return "";
	handle = aub_inventory_zone(control->inventory, zone);
	if (handle == AUB_NO_HANDLE ||
	    !aub_zone_at(control->inventory, handle)->region)
		return "";
	return aub_zone_at(control->inventory, handle)->region;
}

static bool same_region(const struct aub_member *member, void *context)
{
	const struct aubi_control *control = context;

	return !strcmp(aubi_control_region(control, member->zone),
		       aubi_control_region(control, control->settings->zone));
}

guint aubi_control_rank(const struct aubi_control *control, bool in_region,
			gint64 now_us)
{
	return aubi_membership_rank(control->membership,
				    in_region ? same_region : NULL,
				    (void *)control, now_us);
}

bool aubi_control_owns_services(const struct aubi_control *control)
{
	const GPtrArray *list = control->assignments->list;
	guint i;

	for (i = 0; i < list->len; i++) {
		const struct aub_assignment *assignment = list->pdata[i];

		if (!strcmp(assignment->owner, control->settings->name))
			return true;
	}
	return false;
}

static void propagate_change(struct aubi_control *control, bool urgent)
{
	aubi_store_task_members_changed(control->store);
	aubi_entry_task_schedule_view(control->entry);
	aubi_peers_gossip_now(control->peers, urgent);
}

void aubi_control_record_event(struct aubi_control *control,
			       enum aub_event_type type, guint64 number,
			       const char *peer, const char *zone,
			       const char *text)
{
	struct aub_event event = { .type = type, .number = (gint64)number };

	g_strlcpy(event.peer, peer ? peer : "", sizeof(event.peer));
	g_strlcpy(event.zone, zone ? zone : "", sizeof(event.zone));
	g_strlcpy(event.text, text ? text : "", sizeof(event.text));
	aub_event_record(control->events, &event);
}

bool aubi_control_adopt_config(struct aubi_control *control, const char *json,
			       gsize length, guint64 version,
			       const char *source)
{
	struct aub_inventory *inventory = NULL;
	struct aub_config *config;
	GError *error = NULL;

	if (version <= control->agreement.config_version)
		return false;
	config = aub_config_parse(json, length, version, &error);
	if (config)
		inventory = aub_config_inventory(config, &error);
	if (!inventory) {
		aub_log_warning("configuration %" G_GUINT64_FORMAT
				" from %s rejected: %s",
				version, source, error->message);
		aub_config_free(config);
		g_error_free(error);
		return false;
	}
	aubi_agreement_adopt_config(&control->agreement, version);
	aubi_config_history_add(control->history, config, json, length);
	if (control->inventory)
		aub_inventory_unref(control->inventory);
	control->inventory = inventory;
	aub_log_message("configuration %" G_GUINT64_FORMAT " from %s", version,
			source);
	aubi_control_record_event(control, AUB_EVENT_CONFIG, version, source,
				  NULL, config->change);
	propagate_change(control, true);
	return true;
}

bool aubi_control_adopt_assignments(struct aubi_control *control,
				    const char *json, gsize length,
				    guint64 version, const char *source)
{
	struct aubi_assignments *assignments;
	GError *error = NULL;

	if (version <= control->agreement.epoch)
		return false;
	assignments = aubi_assignments_parse(json, length, version, &error);
	if (!assignments) {
		aub_log_warning("assignments from %s rejected: %s", source,
				error->message);
		g_error_free(error);
		return false;
	}
	aubi_agreement_adopt_epoch(&control->agreement, version);
	aubi_assignments_free(control->assignments);
	control->assignments = assignments;
	aub_log_info("assignments %" G_GUINT64_FORMAT " from %s", version,
		     source);
	aubi_control_record_event(control, AUB_EVENT_ASSIGNMENT, version,
				  source, NULL, NULL);
	propagate_change(control, true);
	return true;
}

static void record_member_state(struct aubi_control *control,
				const struct aub_member *member)
{
	struct aubi_member_last_state *last;

	last = g_hash_table_lookup(control->last_states, member->name);
	if (last && last->state == member->state &&
	    last->incarnation == member->incarnation)
		return;
	if (!last) {
		last = g_new0(struct aubi_member_last_state, 1);
		g_hash_table_insert(control->last_states,
				    g_strdup(member->name), last);
	}
	last->state = member->state;
	last->incarnation = member->incarnation;
	aubi_control_record_event(control, AUB_EVENT_MEMBER,
				  member->incarnation, member->name,
				  member->zone,
				  aub_member_state_name(member->state));
	aub_log_info("member %s is %s, entry %" G_GINT64_MODIFIER "x",
		     member->name, aub_member_state_name(member->state),
		     member->incarnation);
}

void aubi_control_members_changed(struct aubi_control *control)
{
	GPtrArray *members;
	guint i;

	members = aubi_membership_list(control->membership,
				       aub_timer_now(control->timers));
	for (i = 0; i < members->len; i++) {
		const struct aub_member *member = members->pdata[i];

		if (member->state != AUB_MEMBER_STOPPED ||
		    member->control_incarnation)
			record_member_state(control, member);
	}
	g_ptr_array_unref(members);
	if (aubi_membership_superseded(control->membership) &&
	    !control->superseded) {
		control->superseded = true;
		aub_log_warning("a newer control named %s is running; this one "
				"stops serving",
				control->settings->name);
	}
	propagate_change(control, false);
}

void aubi_control_store_result(struct aubi_control *control,
			       const GError *error)
{
	bool reachable = !error;

	if (error && (error->code == AUB_ERROR_CONFLICT ||
		      error->code == AUB_ERROR_NOT_FOUND))
		reachable = true;
	if (reachable)
		control->agreement.store_answered_us =
			aub_timer_now(control->timers);
	if (reachable == control->store_reachable)
		return;
	control->store_reachable = reachable;
	aubi_control_record_event(control, AUB_EVENT_STORE, reachable, NULL,
				  NULL, reachable ? "back" : "away");
	if (reachable)
		aub_log_message("the store is reachable");
	else
		aub_log_warning("the store is unreachable: %s", error->message);
}

/* Updates the own record with another state. */
static void set_state(struct aubi_control *control, enum aub_member_state state)
{
	struct aub_member *self;

	self = aub_member_copy(aubi_membership_self(control->membership));
	self->state = state;
	aubi_membership_update_self(control->membership, self,
				    aub_timer_now(control->timers));
	aub_member_free(self);
	aubi_control_members_changed(control);
}

void aubi_control_stop(struct aubi_control *control)
{
	gint64 now_us = aub_timer_now(control->timers);

	if (control->leaving)
		return;
	control->leaving = true;
	control->leave_started_us = now_us;
	control->leave_deadline_us = now_us + control->settings->stop_ms * 1000;
	aub_log_message("stopping within %d ms",
			(int)control->settings->stop_ms);
	aubi_control_record_event(control, AUB_EVENT_STOPPING, 0, NULL, NULL,
				  NULL);
	set_state(control, AUB_MEMBER_LEAVING);
}

/*
 * Waits until other members own the services and the entry has stopped, then
 * announces the state STOPPED to peers and finishes.
 */
static void advance_stop(struct aubi_control *control, gint64 now_us)
{
	bool entry = aubi_entry_task_connected(control->entry);
	bool control_only =
		entry && !aubi_entry_task_stopping(control->entry) &&
		now_us - control->leave_started_us >= CONTROL_ONLY_STOP_US;
	bool owning =
		aubi_control_owns_services(control) &&
		aubi_membership_count_live(control->membership, now_us) > 1;

	if (now_us >= control->leave_deadline_us ||
	    (control->stop_announced_us &&
	     now_us - control->stop_announced_us >= STOP_ANNOUNCE_US)) {
		control->finished = true;
		return;
	}
	if (control->stop_announced_us || owning || (entry && !control_only))
		return;
	control->stop_announced_us = now_us;
	if (!entry)
		set_state(control, AUB_MEMBER_STOPPED);
}

static void on_tick(void *context, gint64 now_us)
{
	struct aubi_control *control = context;

	if (aubi_membership_tick(control->membership, now_us))
		aubi_control_members_changed(control);
	aubi_agreement_tick(&control->agreement, control->membership, now_us);
	aubi_store_task_tick(control->store, now_us);
	aubi_entry_task_tick(control->entry, now_us);
	aubi_config_changes_tick(control->changes, now_us);
	if (control->leaving)
		advance_stop(control, now_us);
}

static void on_metrics(void *context, gint64 now_us)
{
	aubi_control_metrics_refresh(context, now_us);
}

static bool is_ready(void *context)
{
	const struct aubi_control *control = context;

	return control->agreement.config_version > 0 && !control->leaving;
}

static struct aubi_membership *create_membership(struct aubi_control *control)
{
	const struct aubi_control_settings *settings = control->settings;
	struct aub_member *self = aub_member_new();
	struct aubi_membership *membership;
	guint32 seed = (guint32)settings->seed;

	if (!seed)
		seed = (guint32)control->incarnation ^
		       g_str_hash(settings->name);
	self->state = AUB_MEMBER_LIVE;
	self->control_incarnation = control->incarnation;
	aub_string_set(&self->name, settings->name);
	aub_string_set(&self->zone, settings->zone);
	aub_string_set(&self->control_address, settings->inner);
	aub_string_set(&self->control_admin, settings->admin);
	membership =
		aubi_membership_new(self, (const char *const *)settings->peers,
				    seed);
	aub_member_free(self);
	return membership;
}

static bool open_admin(struct aubi_control *control, GError **error)
{
	struct aub_admin_options options = {
		.address = control->settings->admin,
		.token_file = control->settings->token_file,
		.process = control->process,
		.incarnation = control->incarnation,
		.metrics = control->metrics,
		.events = control->events,
		.ready = is_ready,
		.context = control,
	};

	control->admin = aub_admin_new(&options, error);
	if (!control->admin)
		return false;
	aubi_admin_install(control);
	return true;
}

struct aubi_control *aubi_control_new(
	const struct aubi_control_settings *settings, GError **error)
{
	struct aubi_control *control = g_new0(struct aubi_control, 1);
	gint64 now_us;

	control->settings = settings;
	control->process = g_strdup_printf("control-%s", settings->name);
	control->incarnation = aub_incarnation_new();
	control->timers = aub_timer_service_new(NULL);
	now_us = aub_timer_now(control->timers);
	control->metrics = aub_metrics_new();
	control->events = aub_event_ring_new((guint)settings->event_capacity);
	control->last_states =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	control->agreement = aubi_agreement_start(now_us);
	control->membership = create_membership(control);
	control->history = aubi_config_history_new();
	control->assignments = aubi_assignments_new();
	aubi_control_metrics_register(control);
	control->entry = aubi_entry_task_new(control);
	control->changes = aubi_config_changes_new(control);
	control->store = aubi_store_task_new(control);
	control->peers = aubi_peers_new(control, error);
	if (!control->peers || !open_admin(control, error)) {
		aubi_control_free(control);
		return NULL;
	}
	aub_timer_every(control->timers, "tick", TICK_INTERVAL_US, on_tick,
			control);
	aub_timer_every(control->timers, "metrics", METRICS_INTERVAL_US,
			on_metrics, control);
	aubi_control_record_event(control, AUB_EVENT_STARTED,
				  control->incarnation, NULL, settings->zone,
				  NULL);
	return control;
}

void aubi_control_free(struct aubi_control *control)
{
	if (!control)
		return;
	aub_admin_free(control->admin);
	aubi_config_changes_free(control->changes);
	aubi_peers_free(control->peers);
	aubi_store_task_free(control->store);
	aubi_entry_task_free(control->entry);
	aub_timer_service_free(control->timers);
	aubi_assignments_free(control->assignments);
	if (control->inventory)
		aub_inventory_unref(control->inventory);
	aubi_config_history_free(control->history);
	aubi_membership_free(control->membership);
	g_hash_table_destroy(control->last_states);
	aub_event_ring_free(control->events);
	aub_metrics_free(control->metrics);
	g_free(control->process);
	g_free(control);
}
