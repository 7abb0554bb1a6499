/*
 * Operators' changes: read the newest configuration, edit it, write it under
 * the condition that nobody wrote in between, and wait for it to be in force.
 *
 * An edit of the inventory names the version it began from and never goes
 * onto another one. Taking something out or back is rebased by itself.
 */
#include <auburnstile/error.h>
#include <auburnstile/internal/control.h>
#include <auburnstile/internal/control_edit.h>
#include <auburnstile/internal/control_json.h>
#include <auburnstile/internal/json.h>
#include <auburnstile/log.h>

#include <string.h>

#define IN_FORCE_US ((gint64)9000000) /* the letter's 9 s */
#define SETTLE_US ((gint64)300000) /* a look at peers before the answer */
#define TRIES 5 /* of a change that is rebased by itself */
#define STEP "apply change"

struct apply {
	struct aubi_applies *owner;
	struct aub_admin_request *request;
	const struct aubi_edit *edit; /* NULL: a whole inventory */
	char *name; /* of what is edited */
	char *text; /* of the inventory */
	char *author;
	char *change;
	bool chosen; /* `change` came with the request */
	guint64 base;
	bool override; /* the operator knows that a majority is gone */
	guint tries;
	char *json; /* being written */
	guint64 version; /* accepted; 0 before */
	gint64 accepted_us;
};

struct aubi_applies {
	struct aubi_control *control;
	GPtrArray *open; /* of struct apply */
};

static void apply_free(void *data)
{
	struct apply *apply = data;

	g_free(apply->name);
	g_free(apply->text);
	g_free(apply->author);
	g_free(apply->change);
	g_free(apply->json);
	g_free(apply);
}

/* Ends the apply; the request must have been answered. */
static void apply_end(struct apply *apply)
{
	g_ptr_array_remove_fast(apply->owner->open, apply);
}

static void apply_fail(struct apply *apply, const GError *error)
{
	aub_admin_respond_error(apply->request, error);
	apply_end(apply);
}

static void apply_refuse(struct apply *apply, enum aub_error_code code,
			 const char *text)
{
	GError *error = NULL;

	aub_error_set(&error, code, STEP, NULL, "%s", text);
	apply_fail(apply, error);
	g_error_free(error);
}

static void apply_conflict(struct apply *apply)
{
	const struct aubi_book *book = apply->owner->control->book;
	JsonObject *answer = json_object_new();
	JsonObject *error = json_object_new();

	json_object_set_string_member(error, "code", "conflict");
	json_object_set_string_member(error, "step", STEP);
	json_object_set_string_member(error, "peer", "");
	json_object_set_string_member(error, "message",
				      "the configuration was changed since "
				      "the version this edit began from");
	json_object_set_object_member(answer, "error", error);
	aubi_json_set_config(answer, "base_config",
			     aubi_book_find(book, apply->base));
	aubi_json_set_config(answer, "current_config", aubi_book_held(book));
	json_object_set_int_member(
		answer, "current_version",
		(gint64)apply->owner->control->agreement.config_version);
	aub_admin_respond(apply->request, 409, aub_json_print(answer));
	apply_end(apply);
}

/* The answer of a change that was accepted, or needed no write. */
static void apply_done(struct apply *apply, gint64 now_us)
{
	struct aubi_control *control = apply->owner->control;
	JsonObject *answer = json_object_new();

	json_object_set_boolean_member(answer, "accepted", TRUE);
	json_object_set_int_member(answer, "version", (gint64)apply->version);
	json_object_set_string_member(answer, "change",
				      apply->change ? apply->change : "");
	json_object_set_boolean_member(answer, "everywhere",
				       aubi_in_force_everywhere(control,
								apply->version,
								now_us));
	json_object_set_array_member(answer, "in_force",
				     aubi_json_in_force(control, apply->version,
							now_us));
	aub_admin_respond(apply->request, 200, aub_json_print(answer));
	apply_end(apply);
}

static void apply_read(struct apply *apply);

/*
 * Failure: the answer to an accepted change was lost, and the operator's
 * command sends it again. It would be told of a conflict with itself, or be
 * written once more over what came after. The id it chose is among those of
 * the configuration held: it was accepted, there is nothing to write.
 */
static bool is_held_already(struct apply *apply)
{
	const struct aub_config *held =
		aubi_book_held(apply->owner->control->book);

	if (!apply->chosen || !held ||
	    !aub_config_has_change(held, apply->change))
		return false;
	apply->version = held->version;
	apply->accepted_us = aub_timer_now(apply->owner->control->timers);
	return true;
}

static void on_reread(const struct aub_store_object *object,
		      const GError *error, void *context)
{
	struct apply *apply = context;
	struct aubi_control *control = apply->owner->control;

	if (object)
		aubi_control_take_config(control, object->value, object->length,
					 object->version, "store");
	if (!is_held_already(apply))
		apply_conflict(apply);
}

static void on_written(guint64 version, const GError *error, void *context)
{
	struct apply *apply = context;
	struct aubi_control *control = apply->owner->control;

	aubi_control_store_heard(control, error);
	if (error && error->code == AUB_ERROR_CONFLICT) {
		if (apply->edit && apply->tries < TRIES)
			apply_read(apply);
		else
			aub_store_get(aubi_store_task_client(control->store),
				      AUB_CONFIG_KEY, on_reread, apply);
		return;
	}
	if (error) {
		apply_fail(apply, error);
		return;
	}
	apply->version = version;
	apply->accepted_us = aub_timer_now(control->timers);
	aubi_control_take_config(control, apply->json, strlen(apply->json),
				 version, "operator");
}

/*
 * Written on the side of a partition that is no majority, a change would not
 * reach entries that go on serving. They would send requests to a zone that
 * operators believe empty. So nothing is written unless a majority is heard;
 * is_accepted() sees to a cut that comes just then.
 */
static bool may_accept(struct apply *apply)
{
	const struct aubi_control *control = apply->owner->control;
	gint64 now_us = aub_timer_now(control->timers);

	return apply->override ||
	       aubi_agreement_may_accept(control->membership, now_us);
}

static void apply_write(struct apply *apply)
{
	struct aubi_control *control = apply->owner->control;
	const struct aub_config *held = aubi_book_held(control->book);
	struct aub_config *config;
	GError *error = NULL;
	bool edited;

	config = held ? aub_config_copy(held) : aub_config_new();
	edited = apply->edit ?
			 aubi_edit_list(apply->edit, apply->name,
					control->inventory, config, &error) :
			 aubi_edit_inventory(config, apply->text, &error);
	if (apply->edit && !edited && !apply->tries) {
		/* By what is held there is nothing to do: ask the store. */
		g_clear_error(&error);
		apply_read(apply);
	} else if (error) {
		apply_fail(apply, error);
		g_error_free(error);
	} else if (!edited) {
		apply->version =
			apply->owner->control->agreement.config_version;
		apply->accepted_us = aub_timer_now(control->timers);
	} else if (!may_accept(apply)) {
		apply_refuse(apply, AUB_ERROR_UNAVAILABLE,
			     "a majority of the members isn't heard: nothing "
			     "was changed (\"override\" accepts it anyway)");
	} else {
		if (!apply->chosen) {
			g_free(apply->change);
			apply->change =
				g_strdup_printf("%08x%08x", g_random_int(),
						g_random_int());
		}
		aub_config_change_set(config, apply->change);
		aub_string_set(&config->author, apply->author);
		g_free(apply->json);
		apply->json = aub_config_serialize(config);
		aub_store_put(aubi_store_task_client(control->store),
			      AUB_CONFIG_KEY, apply->json, strlen(apply->json),
			      control->agreement.config_version, apply->change,
			      on_written, apply);
	}
	aub_config_free(config);
}

static void on_read(const struct aub_store_object *object, const GError *error,
		    void *context)
{
	struct apply *apply = context;
	struct aubi_control *control = apply->owner->control;

	aubi_control_store_heard(control, error);
	if (error && error->code != AUB_ERROR_NOT_FOUND) {
		apply_fail(apply, error);
		return;
	}
	if (object)
		aubi_control_take_config(control, object->value, object->length,
					 object->version, "store");
	if (is_held_already(apply))
		return;
	if (!apply->edit && apply->base != control->agreement.config_version)
		apply_conflict(apply);
	else
		apply_write(apply);
}

static void apply_read(struct apply *apply)
{
	apply->tries++;
	aub_store_get(aubi_store_task_client(apply->owner->control->store),
		      AUB_CONFIG_KEY, on_read, apply);
}

static bool is_accepted(const struct apply *apply)
{
	const struct aubi_control *control = apply->owner->control;

	return apply->override ||
	       aubi_agreement_is_accepted(&control->agreement,
					  control->membership, apply->version);
}

/* Written, but no majority is known to hold it. */
static void apply_undecided(struct apply *apply)
{
	GError *error = NULL;

	aub_error_set(&error, AUB_ERROR_AMBIGUOUS, STEP, NULL,
		      "written as version %" G_GUINT64_FORMAT
		      ", change %s, but no majority of the members is known "
		      "to hold it: until one is, it is in force only where it "
		      "was heard of (see /v1/in-force)",
		      apply->version, apply->change ? apply->change : "");
	apply_fail(apply, error);
	g_error_free(error);
}

void aubi_applies_tick(struct aubi_applies *applies, gint64 now_us)
{
	guint i;

	for (i = applies->open->len; i > 0; i--) {
		struct apply *apply = applies->open->pdata[i - 1];
		gint64 waited_us = now_us - apply->accepted_us;

		if (!apply->version || waited_us < SETTLE_US)
			continue;
		if (waited_us < IN_FORCE_US &&
		    !aubi_in_force_everywhere(applies->control, apply->version,
					      now_us))
			continue;
		if (is_accepted(apply))
			apply_done(apply, now_us);
		else if (waited_us >= IN_FORCE_US)
			apply_undecided(apply);
	}
}

/*
 * Failure: the store's reads are stale or slow while its writes are good.
 * Symptom: an operator's change is refused though peers know the newest.
 * Enough: it is written onto what is held, and the write's condition tells
 * if that wasn't the newest; only then is the store read.
 */
static void apply_start(struct apply *apply)
{
	guint64 held = apply->owner->control->agreement.config_version;

	if (is_held_already(apply))
		return;
	if (apply->edit ? held > 0 : apply->base == held)
		apply_write(apply);
	else
		apply_read(apply);
}

/* The request's body as an object; answers and returns NULL if it is none. */
static JsonObject *body_of(struct aub_admin_request *request)
{
	GError *error = NULL;
	JsonObject *body;
	const char *text;
	gsize length;

	text = aub_admin_body(request, &length);
	if (!length)
		return json_object_new();
	body = aub_json_parse(text, length, STEP, NULL, &error);
	if (!body) {
		aub_admin_respond_error(request, error);
		g_error_free(error);
	}
	return body;
}

/* The operator knows that those unheard are gone for good. */
static void forget_dead(struct aubi_control *control)
{
	guint count;

	count = aubi_membership_forget_dead(control->membership,
					    aub_timer_now(control->timers));
	if (!count)
		return;
	aub_log_warning("%u members unheard are forgotten: an operator's "
			"override",
			count);
	aubi_control_members_changed(control);
}

static struct apply *apply_new(struct aubi_applies *applies,
			       struct aub_admin_request *request,
			       JsonObject *body)
{
	struct apply *apply = g_new0(struct apply, 1);
	const char *author = aub_json_string(body, "author");

	apply->owner = applies;
	apply->request = request;
	apply->author = g_strdup(author ? author : "");
	apply->override = aub_json_boolean(body, "override");
	if (apply->override)
		forget_dead(applies->control);
	apply->change = g_strdup(aub_json_string(body, "change"));
	apply->chosen = apply->change != NULL;
	g_ptr_array_add(applies->open, apply);
	return apply;
}

#define CHANGE_RULE "\"change\" must be 8 to 64 letters, digits or hyphens"

/* An id is looked for in the object's text: it must stand out there. */
static bool change_is_good(const struct apply *apply)
{
	gsize length;

	if (!apply->chosen)
		return true;
	length = strlen(apply->change);
	return length >= 8 && length <= 64 &&
	       strspn(apply->change, "abcdefghijklmnopqrstuvwxyz"
				     "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "0123456789-") == length;
}

static void on_apply(struct aub_admin_request *request, void *context)
{
	JsonObject *body = body_of(request);
	struct apply *apply;
	const char *text;

	if (!body)
		return;
	apply = apply_new(context, request, body);
	text = aub_json_string(body, "inventory");
	apply->text = g_strdup(text);
	apply->base = (guint64)aub_json_integer(body, "base");
	if (!text)
		apply_refuse(apply, AUB_ERROR_INVALID,
			     "\"inventory\" is missing");
	else if (!change_is_good(apply))
		apply_refuse(apply, AUB_ERROR_INVALID, CHANGE_RULE);
	else
		apply_start(apply);
	json_object_unref(body);
}

static void on_edit(struct aub_admin_request *request, void *context)
{
	JsonObject *body = body_of(request);
	struct apply *apply;

	if (!body)
		return;
	apply = apply_new(context, request, body);
	apply->edit = aubi_edit_of(aub_admin_path(request), &apply->name);
	if (!apply->edit)
		apply_refuse(apply, AUB_ERROR_NOT_FOUND, "no such command");
	else if (!change_is_good(apply))
		apply_refuse(apply, AUB_ERROR_INVALID, CHANGE_RULE);
	else
		apply_start(apply);
	json_object_unref(body);
}

struct aubi_applies *aubi_applies_new(struct aubi_control *control)
{
	struct aubi_applies *applies = g_new0(struct aubi_applies, 1);

	applies->control = control;
	applies->open = g_ptr_array_new_with_free_func(apply_free);
	return applies;
}

void aubi_applies_install(struct aubi_applies *applies)
{
	struct aub_admin *admin = applies->control->admin;

	aub_admin_handle(admin, "POST", "/v1/config/apply", on_apply, applies);
	aub_admin_handle(admin, "POST", "/v1/zones/", on_edit, applies);
	aub_admin_handle(admin, "POST", "/v1/vms/", on_edit, applies);
	aub_admin_handle(admin, "POST", "/v1/upstreams/", on_edit, applies);
}

void aubi_applies_free(struct aubi_applies *applies)
{
	if (!applies)
		return;
	g_ptr_array_unref(applies->open);
	g_free(applies);
}
