/*
 * auburnstilectl: declarations shared by its commands.
 *
 * A command receives the options and its own arguments, prints its result on
 * standard output and errors on standard error, and returns an exit code.
 */
#ifndef CTL_H
#define CTL_H

#include <auburnstile/config.h>
#include <auburnstile/error.h>
#include <auburnstile/internal/json.h>
#include <auburnstile/internal/timeline.h>
#include <stdbool.h>

/* Exit codes; scripts rely on them, and --help lists them. */
enum ctl_exit {
	CTL_BAD_ARGUMENTS = -1, /* prints the usage and exits with CTL_USAGE */
	CTL_OK = 0,
	CTL_REFUSED = 1, /* invalid input, or rejected by the control */
	CTL_USAGE = 2, /* usage error */
	CTL_CONFLICT = 3, /* the edit is based on an older version */
	CTL_NOT_EVERYWHERE = 4, /* accepted, not yet active everywhere */
	CTL_UNREACHABLE = 5, /* no control responded; nothing was changed */
	CTL_UNKNOWN = 6, /* sent, but the outcome is unknown */
	CTL_DIFFERENT = 7 /* diff found differences */
};

enum ctl_format { CTL_TEXT, CTL_JSON, CTL_SVG };

struct ctl_options {
	GPtrArray *controls; /* of char *, "ip:port" of an admin listener */
	const char *token_file;
	const char *author;
	const char *output; /* output file; NULL: standard output */
	enum ctl_format format;
	gint64 base; /* version edited from; -1: the file's `version` */
	bool override_majority;
	guint timeout_ms; /* of a request that changes nothing */
	guint change_timeout_ms; /* of a change, which waits for activation */
	guint limit; /* number of events; 0: all */
	struct aub_timeline_filter filter;
	char *token; /* read from `token_file` on first use; owned */
};

/* Response of a control. */
struct ctl_response {
	guint status; /* HTTP */
	JsonObject *body; /* owned; NULL if it is not a JSON object */
	bool maybe_received; /* an earlier control may have received the change
				as well */
};

void ctl_response_clear(struct ctl_response *response);

/*
 * Sends a request to the controls in turn until one of them responds. A change
 * (a request with a body) carries an id, so it is safe if several controls
 * receive it. Returns false and sets AUB_ERROR_INVALID if the token or an
 * address is missing, AUB_ERROR_AMBIGUOUS if a change was sent and the response
 * was lost, AUB_ERROR_UNAVAILABLE otherwise.
 */
bool ctl_request(struct ctl_options *options, const char *method,
		 const char *path, const char *body, guint timeout_ms,
		 struct ctl_response *response, GError **error);

/* Sends a GET request to one listener ("ip:port"). */
bool ctl_request_one(struct ctl_options *options, const char *address,
		     const char *path, struct ctl_response *response,
		     GError **error);

/*
 * Sends a GET request to the controls. Returns the body of a response with
 * status 200, owned by the caller; otherwise prints the error, sets `*code` to
 * an exit code and returns NULL.
 */
JsonObject *ctl_get(struct ctl_options *options, const char *path, int *code);

/* Prints the reason of an error response; returns CTL_REFUSED. */
int ctl_print_refusal(const struct ctl_response *response);
/* Prints and frees `error`; returns `code`. */
int ctl_print_error(GError *error, int code);
void ctl_print_json(JsonObject *object);

/* A command. `args` are the arguments that follow its name. */
typedef int ctl_command(struct ctl_options *options, char **args, guint count);

ctl_command ctl_check, ctl_diff, ctl_apply, ctl_show;
ctl_command ctl_zone, ctl_vm, ctl_upstream;
ctl_command ctl_status, ctl_watch;
ctl_command ctl_timeline, ctl_explain;

/*
 * Prints the trace of request `id` (as given by the caller) from log files;
 * returns an exit code.
 */
int ctl_explain_logs(const struct ctl_options *options, const char *id,
		     char **files, guint count);

/*
 * Returns the merged time line of log files, owned by the caller. Prints an
 * error and returns NULL if a file can't be read.
 */
struct aub_timeline *ctl_timeline_from_logs(const struct ctl_options *options,
					    char **files, guint count);

/* Parses a member of a response; NULL if it is null or invalid. */
struct aub_config *ctl_config_parse(JsonObject *object, const char *name,
				    guint64 version);
/*
 * Reads ("-": standard input) and validates an inventory file. Returns its
 * text, owned by the caller, or prints the error and returns NULL.
 */
char *ctl_read_inventory(const struct ctl_options *options, const char *file,
			 struct aub_inventory **inventory);
/*
 * Returns a copy of `config` (NULL: an empty one) with the inventory replaced
 * by `text`. Zones, VMs and upstreams that are taken out remain taken out.
 */
struct aub_config *ctl_config_with_text(const struct aub_config *config,
					const char *text);
/*
 * Returns the differences, or the reason why they can't be determined; owned by
 * the caller.
 */
char *ctl_diff_text(const struct aub_config *from, const struct aub_config *to);

#endif
