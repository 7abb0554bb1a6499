/*
 * Commands that change the configuration: apply, zone, vm and upstream.
 */
#include "ctl.h"

#include <libsoup/soup.h>
#include <string.h>

/* A change whose response was lost is resent with the same id. */
#define CHANGE_ATTEMPTS_MAX 3
#define CHANGE_RETRY_DELAY_US 200000

static void print_lines(const char *title, const char *lines)
{
	char **list = g_strsplit(lines, "\n", -1);

	g_print("%s\n", title);
	for (guint i = 0; list[i]; i++)
		if (*list[i])
			g_print("  %s\n", list[i]);
	if (!*lines)
		g_print("  nothing\n");
	g_strfreev(list);
}

/*
 * Prints the members at which a change is not active yet, and a summary.
 * Returns true if no live member is behind.
 */
static bool print_members(JsonObject *response, const char *list,
			  guint64 version)
{
	JsonArray *members = aub_json_array(response, list);
	guint behind = 0;
	guint up_to_date = 0;

	for (guint i = 0; members && i < json_array_get_length(members); i++) {
		JsonObject *member = aub_json_element(members, i);
		const char *name =
			member ? aub_json_string(member, "member") : NULL;
		const char *state =
			member ? aub_json_string(member, "state") : NULL;
		guint64 member_version;

		if (!name || !state)
			continue;
		member_version = (guint64)aub_json_integer(member, "version");
		if (member_version >= version) {
			up_to_date++;
			continue;
		}
		if (strcmp(state, "live") == 0 || strcmp(state, "leaving") == 0)
			behind++;
		g_print("  %s: %s, at version %" G_GUINT64_FORMAT "\n", name,
			state, member_version);
	}
	g_print("active at %u member%s, %u behind\n", up_to_date,
		up_to_date == 1 ? "" : "s", behind);
	return behind == 0;
}

static int print_accepted(struct ctl_options *options, JsonObject *response,
			  const char *list)
{
	guint64 version = (guint64)aub_json_integer(response, "version");
	bool everywhere = aub_json_boolean(response, "everywhere");

	if (options->format == CTL_JSON) {
		ctl_print_json(response);
	} else {
		g_print("accepted: version %" G_GUINT64_FORMAT "\n", version);
		everywhere =
			print_members(response, list, version) && everywhere;
		if (!everywhere)
			g_print("not yet active everywhere; a member that "
				"stays partitioned accepts no new requests\n");
	}
	return everywhere ? CTL_OK : CTL_NOT_EVERYWHERE;
}

/*
 * Prints the edits of both operators, each relative to the version that this
 * edit is based on, so that they can be merged.
 */
static int print_conflict(struct ctl_options *options, JsonObject *response,
			  const char *text)
{
	guint64 version =
		(guint64)aub_json_integer(response, "current_version");
	struct aub_config *base = ctl_config_parse(response, "base_config", 0);
	struct aub_config *current_config =
		ctl_config_parse(response, "current_config", 0);
	struct aub_config *edited_config =
		ctl_config_with_text(base ? base : current_config, text);
	char *their_changes = ctl_diff_text(base, current_config);
	char *your_changes =
		ctl_diff_text(base ? base : current_config, edited_config);

	if (options->format == CTL_JSON) {
		json_object_set_string_member(response, "base_to_current",
					      their_changes);
		json_object_set_string_member(response, "base_to_yours",
					      your_changes);
		ctl_print_json(response);
	} else {
		g_print("conflict: the configuration is at version "
			"%" G_GUINT64_FORMAT ", your edit is based on an older "
			"one; nothing was changed\n",
			version);
		print_lines(
			base ? "changed since by others (base -> current):" :
			       "current (the base version is no longer available):",
			their_changes);
		print_lines(base ? "changed by you (base -> yours):" :
				   "changed by you (current -> yours):",
			    your_changes);
		g_print("edit the current configuration (auburnstilectl show) "
			"and apply that\n");
	}
	aub_config_free(base);
	aub_config_free(current_config);
	aub_config_free(edited_config);
	g_free(their_changes);
	g_free(your_changes);
	return CTL_CONFLICT;
}

static char *new_change_id(void)
{
	return g_strdup_printf("ctl-%08x%08x%08x", g_random_int(),
			       g_random_int(), g_random_int());
}

/*
 * Returns true if the control can't tell whether the store accepted the write:
 * the store's response was lost and the object can't be read.
 */
static bool is_ambiguous(const struct ctl_response *response)
{
	JsonObject *error = response->body ?
				    aub_json_object(response->body, "error") :
				    NULL;
	const char *code = error ? aub_json_string(error, "code") : NULL;

	return code &&
	       strcmp(code, aub_error_code_name(AUB_ERROR_AMBIGUOUS)) == 0;
}

/*
 * Sends a change until its outcome is known. Returns false if no control
 * responded. `*maybe_applied` is set if the response to an attempt was lost.
 *
 * If an operator repeated a change after a lost response, a change made by a
 * colleague in between could be overwritten. Therefore the change has an id,
 * which is stored with the configuration: a resent change is either applied
 * now or recognised as already applied.
 */
static bool send_change(struct ctl_options *options, const char *path,
			const char *body, struct ctl_response *response,
			bool *maybe_applied, GError **error)
{
	*maybe_applied = false;
	for (guint i = 0; i < CHANGE_ATTEMPTS_MAX; i++) {
		bool responded;

		if (i)
			g_usleep(CHANGE_RETRY_DELAY_US);
		g_clear_error(error);
		ctl_response_clear(response);
		responded = ctl_request(options, "POST", path, body,
					options->change_timeout_ms, response,
					error);
		if (!responded && (*error)->code == AUB_ERROR_INVALID)
			return false;
		if (responded && !is_ambiguous(response))
			return true;
		*maybe_applied =
			*maybe_applied || responded || response->maybe_received;
	}
	return response->status != 0;
}

/* Prints the error after no control has responded to a change. */
static int print_no_response(GError *error, bool maybe_applied)
{
	if (error->code == AUB_ERROR_INVALID)
		return ctl_print_error(error, CTL_USAGE);
	if (!maybe_applied)
		return ctl_print_error(error, CTL_UNREACHABLE);
	g_printerr("auburnstilectl: the change was sent, but its outcome is "
		   "unknown: check `auburnstilectl show` "
		   "before you repeat it\n");
	return ctl_print_error(error, CTL_UNKNOWN);
}

/* A rejection is final unless an earlier attempt may have been applied. */
static int print_rejected(const struct ctl_response *response,
			  bool maybe_applied)
{
	int code = ctl_print_refusal(response);

	if (!maybe_applied)
		return code;
	g_printerr("auburnstilectl: an earlier response was lost: check "
		   "`auburnstilectl show` before you repeat this\n");
	return CTL_UNKNOWN;
}

static void set_author(struct ctl_options *options, JsonObject *body,
		       const char *change_id)
{
	json_object_set_string_member(body, "author", options->author);
	json_object_set_string_member(body, "change", change_id);
	if (options->override_majority)
		json_object_set_boolean_member(body, "override", TRUE);
}

static int apply_text(struct ctl_options *options, const char *text,
		      guint64 base)
{
	char *unversioned = aub_inventory_text_set_version(text, 0);
	JsonObject *body = json_object_new();
	struct ctl_response response = { 0 };
	char *change_id = new_change_id();
	GError *error = NULL;
	bool maybe_applied = false;
	char *json;
	int code;

	json_object_set_int_member(body, "base", (gint64)base);
	json_object_set_string_member(body, "inventory", unversioned);
	set_author(options, body, change_id);
	json = aub_json_print(body);
	if (!send_change(options, "/v1/config/apply", json, &response,
			 &maybe_applied, &error))
		code = print_no_response(error, maybe_applied);
	else if (response.status == SOUP_STATUS_OK && response.body)
		code = print_accepted(options, response.body, "in_force");
	else if (response.status == SOUP_STATUS_CONFLICT && response.body)
		code = print_conflict(options, response.body, unversioned);
	else
		code = print_rejected(&response, maybe_applied);
	ctl_response_clear(&response);
	g_free(json);
	g_free(change_id);
	g_free(unversioned);
	return code;
}

int ctl_apply(struct ctl_options *options, char **args, guint count)
{
	struct aub_inventory *inventory = NULL;
	guint64 base;
	char *text;
	int code;

	if (count != 1)
		return CTL_BAD_ARGUMENTS;
	text = ctl_read_inventory(options, args[0], &inventory);
	if (!text)
		return CTL_REFUSED;
	base = options->base >= 0 ? (guint64)options->base :
				    inventory->base_version;
	aub_inventory_unref(inventory);
	code = apply_text(options, text, base);
	g_free(text);
	return code;
}

static int send_item_change(struct ctl_options *options, const char *path,
			    const char *label)
{
	JsonObject *body = json_object_new();
	struct ctl_response response = { 0 };
	char *change_id = new_change_id();
	GError *error = NULL;
	bool maybe_applied = false;
	char *json;
	int code;

	set_author(options, body, change_id);
	json = aub_json_print(body);
	if (!send_change(options, path, json, &response, &maybe_applied,
			 &error)) {
		code = print_no_response(error, maybe_applied);
	} else if (response.status == SOUP_STATUS_OK && response.body) {
		if (options->format != CTL_JSON)
			g_print("%s: ", label);
		code = print_accepted(options, response.body, "in_force");
	} else {
		code = print_rejected(&response, maybe_applied);
	}
	ctl_response_clear(&response);
	g_free(json);
	g_free(change_id);
	return code;
}

/* Runs "zone out NAME" and the like, with one of two possible actions. */
static int change_item(struct ctl_options *options, char **args, guint count,
		       const char *kind, const char *action,
		       const char *opposite_action)
{
	char *name;
	char *path;
	char *label;
	int code;

	if (count != 2 || (strcmp(args[0], action) != 0 &&
			   strcmp(args[0], opposite_action) != 0))
		return CTL_BAD_ARGUMENTS;
	name = g_uri_escape_string(args[1], NULL, FALSE);
	path = g_strdup_printf("/v1/%ss/%s/%s", kind, name, args[0]);
	label = g_strdup_printf("%s %s %s", kind, args[1], args[0]);
	code = send_item_change(options, path, label);
	g_free(label);
	g_free(path);
	g_free(name);
	return code;
}

int ctl_zone(struct ctl_options *options, char **args, guint count)
{
	return change_item(options, args, count, "zone", "out", "in");
}

int ctl_vm(struct ctl_options *options, char **args, guint count)
{
	return change_item(options, args, count, "vm", "leave", "return");
}

int ctl_upstream(struct ctl_options *options, char **args, guint count)
{
	return change_item(options, args, count, "upstream", "leave", "return");
}
