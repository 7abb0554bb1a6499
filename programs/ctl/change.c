/*
 * Commands that change the configuration: apply, and taking a zone, VM or
 * upstream out and back.
 */
#include "ctl.h"

#include <libsoup/soup.h>
#include <string.h>

/* A change whose answer was lost is sent again, with the same id. */
#define CHANGE_TRIES 3
#define CHANGE_PAUSE_US 200000

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

/* Members that a change isn't in force at; true when there are none. */
static bool print_members(JsonObject *answer, const char *list, guint64 version)
{
	JsonArray *members = aub_json_array(answer, list);
	guint behind = 0;
	guint whole = 0;

	for (guint i = 0; members && i < json_array_get_length(members); i++) {
		JsonObject *it = aub_json_element(members, i);
		const char *name = it ? aub_json_string(it, "member") : NULL;
		const char *state = it ? aub_json_string(it, "state") : NULL;
		guint64 held;

		if (!name || !state)
			continue;
		held = (guint64)aub_json_integer(it, "version");
		if (held >= version) {
			whole++;
			continue;
		}
		if (strcmp(state, "live") == 0 || strcmp(state, "leaving") == 0)
			behind++;
		g_print("  %s: %s, at version %" G_GUINT64_FORMAT "\n", name,
			state, held);
	}
	g_print("in force at %u member%s, %u behind\n", whole,
		whole == 1 ? "" : "s", behind);
	return behind == 0;
}

static int print_accepted(struct ctl_options *options, JsonObject *answer,
			  const char *list)
{
	guint64 version = (guint64)aub_json_integer(answer, "version");
	bool everywhere = aub_json_boolean(answer, "everywhere");

	if (options->format == CTL_JSON) {
		ctl_print_json(answer);
	} else {
		g_print("accepted: version %" G_GUINT64_FORMAT "\n", version);
		everywhere = print_members(answer, list, version) && everywhere;
		if (!everywhere)
			g_print("not yet in force everywhere; a member that "
				"stays cut off takes no new work\n");
	}
	return everywhere ? CTL_OK : CTL_NOT_EVERYWHERE;
}

/*
 * Both operators' edits, each against the version this one began from, so
 * that neither is lost by guessing.
 */
static int print_conflict(struct ctl_options *options, JsonObject *answer,
			  const char *text)
{
	guint64 version = (guint64)aub_json_integer(answer, "current_version");
	struct aub_config *base = ctl_config_parse(answer, "base_config", 0);
	struct aub_config *current = ctl_config_parse(answer, "current_config", 0);
	struct aub_config *yours = ctl_config_with_text(base ? base : current, text);
	char *theirs = ctl_diff_text(base, current);
	char *mine = ctl_diff_text(base ? base : current, yours);

	if (options->format == CTL_JSON) {
		json_object_set_string_member(answer, "base_to_current",
					      theirs);
		json_object_set_string_member(answer, "base_to_yours", mine);
		ctl_print_json(answer);
	} else {
		g_print("conflict: the configuration is at version "
			"%" G_GUINT64_FORMAT ", your edit began from an older "
			"one; nothing was changed\n",
			version);
		print_lines(
			base ? "changed since by others (base -> current):" :
			       "current (the base is no longer known):",
			theirs);
		print_lines(base ? "changed by you (base -> yours):" :
				   "changed by you (current -> yours):",
			    mine);
		g_print("take the current one (auburnstilectl show), edit it, "
			"and apply that\n");
	}
	aub_config_free(base);
	aub_config_free(current);
	aub_config_free(yours);
	g_free(theirs);
	g_free(mine);
	return CTL_CONFLICT;
}

static char *change_new(void)
{
	return g_strdup_printf("ctl-%08x%08x%08x", g_random_int(),
			       g_random_int(), g_random_int());
}

/* The control itself lost the store's answer, and can't read back. */
static bool is_ambiguous(const struct ctl_response *answer)
{
	JsonObject *error =
		answer->body ? aub_json_object(answer->body, "error") : NULL;
	const char *code = error ? aub_json_string(error, "code") : NULL;

	return code &&
	       strcmp(code, aub_error_code_name(AUB_ERROR_AMBIGUOUS)) == 0;
}

/*
 * Send a change until it is known what became of it.
 *
 * The operator repeats a change whose answer was lost, and overwrites what a
 * colleague did in between. The id is chosen here and kept by the
 * configuration: sent again, the change is either written now, or finds
 * itself among those accepted.
 */
static bool change_send(struct ctl_options *options, const char *path,
			const char *body, struct ctl_response *answer, bool *lost,
			GError **error)
{
	*lost = false;
	for (guint i = 0; i < CHANGE_TRIES; i++) {
		bool answered;

		if (i)
			g_usleep(CHANGE_PAUSE_US);
		g_clear_error(error);
		ctl_response_clear(answer);
		answered = ctl_request(options, "POST", path, body,
				   options->change_timeout_ms, answer, error);
		if (!answered && (*error)->code == AUB_ERROR_INVALID)
			return false;
		if (answered && !is_ambiguous(answer))
			return true;
		*lost = *lost || answered || answer->lost;
	}
	return answer->status != 0;
}

/* No answer came at all: what can be said of the change? */
static int print_unsettled(GError *error, bool lost)
{
	if (error->code == AUB_ERROR_INVALID)
		return ctl_print_error(error, CTL_USAGE);
	if (!lost)
		return ctl_print_error(error, CTL_UNREACHABLE);
	g_printerr("auburnstilectl: the change was sent, and no control can "
		   "say what became of it: look at `auburnstilectl show` "
		   "before you repeat it\n");
	return ctl_print_error(error, CTL_UNKNOWN);
}

/* A refusal is final, unless an earlier try may have gone through. */
static int print_refused(const struct ctl_response *answer, bool lost)
{
	int code = ctl_print_refusal(answer);

	if (!lost)
		return code;
	g_printerr("auburnstilectl: an earlier answer was lost: look at "
		   "`auburnstilectl show` before you repeat this\n");
	return CTL_UNKNOWN;
}

static void author_set(struct ctl_options *options, JsonObject *body,
		       const char *change)
{
	json_object_set_string_member(body, "author", options->author);
	json_object_set_string_member(body, "change", change);
	if (options->override_majority)
		json_object_set_boolean_member(body, "override", TRUE);
}

static int apply_text(struct ctl_options *options, const char *text,
		      guint64 base)
{
	char *plain = aub_inventory_text_version(text, 0);
	JsonObject *body = json_object_new();
	struct ctl_response answer = { 0 };
	char *change = change_new();
	GError *error = NULL;
	bool lost = false;
	char *json;
	int code;

	json_object_set_int_member(body, "base", (gint64)base);
	json_object_set_string_member(body, "inventory", plain);
	author_set(options, body, change);
	json = aub_json_print(body);
	if (!change_send(options, "/v1/config/apply", json, &answer, &lost,
			 &error))
		code = print_unsettled(error, lost);
	else if (answer.status == SOUP_STATUS_OK && answer.body)
		code = print_accepted(options, answer.body, "in_force");
	else if (answer.status == SOUP_STATUS_CONFLICT && answer.body)
		code = print_conflict(options, answer.body, plain);
	else
		code = print_refused(&answer, lost);
	ctl_response_clear(&answer);
	g_free(json);
	g_free(change);
	g_free(plain);
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

static int item_send(struct ctl_options *options, const char *path,
		     const char *what)
{
	JsonObject *body = json_object_new();
	struct ctl_response answer = { 0 };
	char *change = change_new();
	GError *error = NULL;
	bool lost = false;
	char *json;
	int code;

	author_set(options, body, change);
	json = aub_json_print(body);
	if (!change_send(options, path, json, &answer, &lost, &error)) {
		code = print_unsettled(error, lost);
	} else if (answer.status == SOUP_STATUS_OK && answer.body) {
		if (options->format != CTL_JSON)
			g_print("%s: ", what);
		code = print_accepted(options, answer.body, "in_force");
	} else {
		code = print_refused(&answer, lost);
	}
	ctl_response_clear(&answer);
	g_free(json);
	g_free(change);
	return code;
}

/* "zone out NAME" and its like: the word, the name, and the path. */
static int change_item(struct ctl_options *options, char **args, guint count,
		       const char *kind, const char *first, const char *second)
{
	char *name;
	char *path;
	char *what;
	int code;

	if (count != 2 ||
	    (strcmp(args[0], first) != 0 && strcmp(args[0], second) != 0))
		return CTL_BAD_ARGUMENTS;
	name = g_uri_escape_string(args[1], NULL, FALSE);
	path = g_strdup_printf("/v1/%ss/%s/%s", kind, name, args[0]);
	what = g_strdup_printf("%s %s %s", kind, args[1], args[0]);
	code = item_send(options, path, what);
	g_free(what);
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
	return change_item(options, args, count, "upstream", "leave",
			   "return");
}
