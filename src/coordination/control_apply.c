/*
 * Applies operators' changes of the configuration: edits the newest
 * configuration, writes it on condition that it was not changed meanwhile, and
 * waits until it is active.
 *
 * A new inventory names the version that it is based on and is never applied to
 * another one. An edit that takes a zone, VM or upstream out of service, or
 * returns it, is rebased automatically.
 */
#include <auburnstile/error.h>
#include <auburnstile/internal/control.h>
#include <auburnstile/internal/control_edit.h>
#include <auburnstile/internal/control_json.h>
#include <auburnstile/internal/json.h>
#include <auburnstile/log.h>

#include <string.h>

/* Maximum wait for a change to become active; the brief requires 9 s. */
#define ACTIVATION_TIMEOUT_US ((gint64)9000000)
/*
 * Minimum time between the write and the answer, so that peers can report
 * activation.
 */
#define ANSWER_DELAY_US ((gint64)300000)
#define WRITE_ATTEMPTS_MAX 5 /* for a change that is rebased automatically */
#define ERROR_STEP "apply change"

struct change {
	struct aubi_config_changes *owner;
	struct aub_admin_request *request;
	const struct aubi_edit *edit; /* NULL: replaces the whole inventory */
	char *name; /* of the object that is edited */
	char *text; /* the new inventory, TOML */
	char *author;
	char *change_id;
	bool client_chosen_id; /* the request contained "change" */
	guint64 base_version;
	bool override; /* accept without a reachable majority */
	guint attempts;
	char *json; /* the configuration being written */
	guint64 version; /* the version that contains the change; 0: none yet */
	gint64 wait_start_us; /* of the wait for activation */
};

struct aubi_config_changes {
	struct aubi_control *control;
	GPtrArray *open; /* of struct change */
};

static void change_free(void *data)
{
	struct change *change = data;

	g_free(change->name);
	g_free(change->text);
	g_free(change->author);
	g_free(change->change_id);
	g_free(change->json);
	g_free(change);
}

/* Removes and frees the change; its request must have been answered. */
static void change_end(struct change *change)
{
	g_ptr_array_remove_fast(change->owner->open, change);
}

static void change_fail(struct change *change, const GError *error)
{
	aub_admin_respond_error(change->request, error);
	change_end(change);
}

static void change_refuse(struct change *change, enum aub_error_code code,
			  const char *text)
{
	GError *error = NULL;

	aub_error_set(&error, code, ERROR_STEP, NULL, "%s", text);
	change_fail(change, error);
	g_error_free(error);
}

static void change_conflict(struct change *change)
{
	const struct aubi_config_history *history =
		change->owner->control->history;
	JsonObject *answer = json_object_new();
	JsonObject *error = json_object_new();

	json_object_set_string_member(error, "code", "conflict");
	json_object_set_string_member(error, "step", ERROR_STEP);
	json_object_set_string_member(error, "peer", "");
	json_object_set_string_member(error, "message",
				      "the configuration has changed since "
				      "the version this edit is based on");
	json_object_set_object_member(answer, "error", error);
	aubi_json_set_config(answer, "base_config",
			     aubi_config_history_find(history,
						      change->base_version));
	aubi_json_set_config(answer, "current_config",
			     aubi_config_history_current(history));
	json_object_set_int_member(
		answer, "current_version",
		(gint64)change->owner->control->agreement.config_version);
	aub_admin_respond(change->request, 409, aub_json_print(answer));
	change_end(change);
}

/* Answers a change that was accepted or needed no write. */
static void change_complete(struct change *change, gint64 now_us)
{
	struct aubi_control *control = change->owner->control;
	JsonObject *answer = json_object_new();

	json_object_set_boolean_member(answer, "accepted", TRUE);
	json_object_set_int_member(answer, "version", (gint64)change->version);
	json_object_set_string_member(answer, "change",
				      change->change_id ? change->change_id :
							  "");
	json_object_set_boolean_member(
		answer, "everywhere",
		aubi_config_active_everywhere(control, change->version,
					      now_us));
	json_object_set_array_member(
		answer, "in_force",
		aubi_json_config_activation(control, change->version, now_us));
	aub_admin_respond(change->request, 200, aub_json_print(answer));
	change_end(change);
}

static void change_read_store(struct change *change);

/*
 * Returns whether the id chosen by the client is among those of the current
 * configuration; then the change was accepted before and must not be written.
 * The operator's command sends a change again if the answer was lost. Without
 * this check, the change would be reported as a conflict with itself, or be
 * written again over later changes.
 */
static bool is_applied_already(struct change *change)
{
	const struct aub_config *current =
		aubi_config_history_current(change->owner->control->history);

	if (!change->client_chosen_id || !current ||
	    !aub_config_has_change(current, change->change_id))
		return false;
	change->version = current->version;
	change->wait_start_us = aub_timer_now(change->owner->control->timers);
	return true;
}

static void on_reread(const struct aub_store_object *object,
		      const GError *error, void *context)
{
	struct change *change = context;
	struct aubi_control *control = change->owner->control;

	if (object)
		aubi_control_adopt_config(control, object->value,
					  object->length, object->version,
					  "store");
	if (!is_applied_already(change))
		change_conflict(change);
}

static void on_written(guint64 version, const GError *error, void *context)
{
	struct change *change = context;
	struct aubi_control *control = change->owner->control;

	aubi_control_store_result(control, error);
	if (error && error->code == AUB_ERROR_CONFLICT) {
		if (change->edit && change->attempts < WRITE_ATTEMPTS_MAX)
			change_read_store(change);
		else
			aub_store_get(aubi_store_task_client(control->store),
				      AUB_CONFIG_KEY, on_reread, change);
		return;
	}
	if (error) {
		change_fail(change, error);
		return;
	}
	change->version = version;
	change->wait_start_us = aub_timer_now(control->timers);
	aubi_control_adopt_config(control, change->json, strlen(change->json),
				  version, "operator");
}

/*
 * A change written in a minority partition would not reach the entries in the
 * other partition. They would continue to serve and send requests to a zone
 * that operators consider empty. Nothing is written unless a majority is
 * reachable; is_accepted() covers a partition that begins during the write.
 */
static bool can_accept(struct change *change)
{
	const struct aubi_control *control = change->owner->control;
	gint64 now_us = aub_timer_now(control->timers);

	return change->override ||
	       aubi_agreement_can_accept_changes(control->membership, now_us);
}

static void change_write(struct change *change)
{
	struct aubi_control *control = change->owner->control;
	const struct aub_config *current =
		aubi_config_history_current(control->history);
	struct aub_config *config;
	GError *error = NULL;
	bool edited;

	config = current ? aub_config_copy(current) : aub_config_new();
	edited = change->edit ?
			 aubi_edit_list(change->edit, change->name,
					control->inventory, config, &error) :
			 aubi_edit_inventory(config, change->text, &error);
	if (change->edit && !edited && !change->attempts) {
		/* The local configuration needs no change; check the store. */
		g_clear_error(&error);
		change_read_store(change);
	} else if (error) {
		change_fail(change, error);
		g_error_free(error);
	} else if (!edited) {
		change->version =
			change->owner->control->agreement.config_version;
		change->wait_start_us = aub_timer_now(control->timers);
	} else if (!can_accept(change)) {
		change_refuse(
			change, AUB_ERROR_UNAVAILABLE,
			"no majority of the members is reachable: nothing was "
			"changed (\"override\" accepts the change anyway)");
	} else {
		if (!change->client_chosen_id) {
			g_free(change->change_id);
			change->change_id =
				g_strdup_printf("%08x%08x", g_random_int(),
						g_random_int());
		}
		aub_config_set_change(config, change->change_id);
		aub_string_set(&config->author, change->author);
		g_free(change->json);
		change->json = aub_config_serialize(config);
		aub_store_put(aubi_store_task_client(control->store),
			      AUB_CONFIG_KEY, change->json,
			      strlen(change->json),
			      control->agreement.config_version,
			      change->change_id, on_written, change);
	}
	aub_config_free(config);
}

static void on_read(const struct aub_store_object *object, const GError *error,
		    void *context)
{
	struct change *change = context;
	struct aubi_control *control = change->owner->control;

	aubi_control_store_result(control, error);
	if (error && error->code != AUB_ERROR_NOT_FOUND) {
		change_fail(change, error);
		return;
	}
	if (object)
		aubi_control_adopt_config(control, object->value,
					  object->length, object->version,
					  "store");
	if (is_applied_already(change))
		return;
	if (!change->edit &&
	    change->base_version != control->agreement.config_version)
		change_conflict(change);
	else
		change_write(change);
}

static void change_read_store(struct change *change)
{
	change->attempts++;
	aub_store_get(aubi_store_task_client(change->owner->control->store),
		      AUB_CONFIG_KEY, on_read, change);
}

static bool is_accepted(const struct change *change)
{
	const struct aubi_control *control = change->owner->control;

	return change->override ||
	       aubi_agreement_is_accepted(&control->agreement,
					  control->membership, change->version);
}

/* Answers that the change was written, but is not known to have a majority. */
static void change_fail_undecided(struct change *change)
{
	GError *error = NULL;

	aub_error_set(&error, AUB_ERROR_AMBIGUOUS, ERROR_STEP, NULL,
		      "written as version %" G_GUINT64_FORMAT
		      ", change %s, but it is not known whether a majority of "
		      "the members has received it: until one has, it is only "
		      "in effect at those that have (see /v1/in-force)",
		      change->version,
		      change->change_id ? change->change_id : "");
	change_fail(change, error);
	g_error_free(error);
}

void aubi_config_changes_tick(struct aubi_config_changes *changes,
			      gint64 now_us)
{
	guint i;

	for (i = changes->open->len; i > 0; i--) {
		struct change *change = changes->open->pdata[i - 1];
		gint64 waited_us = now_us - change->wait_start_us;

		if (!change->version || waited_us < ANSWER_DELAY_US)
			continue;
		if (waited_us < ACTIVATION_TIMEOUT_US &&
		    !aubi_config_active_everywhere(changes->control,
						   change->version, now_us))
			continue;
		if (is_accepted(change))
			change_complete(change, now_us);
		else if (waited_us >= ACTIVATION_TIMEOUT_US)
			change_fail_undecided(change);
	}
}

/*
 * Starts with the local configuration instead of a read from the store. Reads
 * may be stale or slow while writes work, and the change would be refused
 * although peers have the newest version. The store is only read if the
 * condition of the write fails because the local configuration was not the
 * newest.
 */
static void change_start(struct change *change)
{
	guint64 current = change->owner->control->agreement.config_version;

	if (is_applied_already(change))
		return;
	if (change->edit ? current > 0 : change->base_version == current)
		change_write(change);
	else
		change_read_store(change);
}

/*
 * Returns the request's body as a JSON object, an empty one for an empty body.
 * If the body is no JSON object, answers the request with an error and returns
 * NULL.
 */
static JsonObject *parse_body(struct aub_admin_request *request)
{
	GError *error = NULL;
	JsonObject *body;
	const char *text;
	gsize length;

	text = aub_admin_body(request, &length);
	if (!length)
		return json_object_new();
	body = aub_json_parse(text, length, ERROR_STEP, NULL, &error);
	if (!body) {
		aub_admin_respond_error(request, error);
		g_error_free(error);
	}
	return body;
}

/*
 * Removes all dead members: with an override, the operator asserts that they
 * will not return.
 */
static void forget_dead(struct aubi_control *control)
{
	guint count;

	count = aubi_membership_forget_dead(control->membership,
					    aub_timer_now(control->timers));
	if (!count)
		return;
	aub_log_warning("forgot %u dead members, as requested by an "
			"operator's override",
			count);
	aubi_control_members_changed(control);
}

static struct change *change_new(struct aubi_config_changes *changes,
				 struct aub_admin_request *request,
				 JsonObject *body)
{
	struct change *change = g_new0(struct change, 1);
	const char *author = aub_json_string(body, "author");

	change->owner = changes;
	change->request = request;
	change->author = g_strdup(author ? author : "");
	change->override = aub_json_boolean(body, "override");
	if (change->override)
		forget_dead(changes->control);
	change->change_id = g_strdup(aub_json_string(body, "change"));
	change->client_chosen_id = change->change_id != NULL;
	g_ptr_array_add(changes->open, change);
	return change;
}

#define CHANGE_ID_RULE "\"change\" must be 8 to 64 letters, digits or hyphens"

/*
 * If the response to a write is lost, the store client searches the text of the
 * stored configuration for the change id, so ids must not occur there by
 * chance.
 */
static bool change_id_is_valid(const struct change *change)
{
	gsize length;

	if (!change->client_chosen_id)
		return true;
	length = strlen(change->change_id);
	return length >= 8 && length <= 64 &&
	       strspn(change->change_id, "abcdefghijklmnopqrstuvwxyz"
					 "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
					 "0123456789-") == length;
}

static void on_apply(struct aub_admin_request *request, void *context)
{
	JsonObject *body = parse_body(request);
	struct change *change;
	const char *text;

	if (!body)
		return;
	change = change_new(context, request, body);
	text = aub_json_string(body, "inventory");
	change->text = g_strdup(text);
	change->base_version = (guint64)aub_json_integer(body, "base");
	if (!text)
		change_refuse(change, AUB_ERROR_INVALID,
			      "\"inventory\" is missing");
	else if (!change_id_is_valid(change))
		change_refuse(change, AUB_ERROR_INVALID, CHANGE_ID_RULE);
	else
		change_start(change);
	json_object_unref(body);
}

static void on_edit(struct aub_admin_request *request, void *context)
{
	JsonObject *body = parse_body(request);
	struct change *change;

	if (!body)
		return;
	change = change_new(context, request, body);
	change->edit =
		aubi_edit_from_path(aub_admin_path(request), &change->name);
	if (!change->edit)
		change_refuse(change, AUB_ERROR_NOT_FOUND, "no such command");
	else if (!change_id_is_valid(change))
		change_refuse(change, AUB_ERROR_INVALID, CHANGE_ID_RULE);
	else
		change_start(change);
	json_object_unref(body);
}

struct aubi_config_changes *aubi_config_changes_new(
	struct aubi_control *control)
{
	struct aubi_config_changes *changes =
		g_new0(struct aubi_config_changes, 1);

	changes->control = control;
	changes->open = g_ptr_array_new_with_free_func(change_free);
	return changes;
}

void aubi_config_changes_install(struct aubi_config_changes *changes)
{
	struct aub_admin *admin = changes->control->admin;

	aub_admin_handle(admin, "POST", "/v1/config/apply", on_apply, changes);
	aub_admin_handle(admin, "POST", "/v1/zones/", on_edit, changes);
	aub_admin_handle(admin, "POST", "/v1/vms/", on_edit, changes);
	aub_admin_handle(admin, "POST", "/v1/upstreams/", on_edit, changes);
}

void aubi_config_changes_free(struct aubi_config_changes *changes)
{
	if (!changes)
		return;
	g_ptr_array_unref(changes->open);
	g_free(changes);
}
