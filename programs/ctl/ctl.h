/*
 * auburnstilectl: what its commands share.
 *
 * A command gets the options and its own words, prints its result on
 * standard output and faults on standard error, and returns an exit code.
 */
#ifndef CTL_H
#define CTL_H

#include <auburnstile/config.h>
#include <auburnstile/error.h>
#include <auburnstile/internal/json.h>
#include <auburnstile/internal/timeline.h>
#include <stdbool.h>

/* Exit codes that scripts can rely on; listed in --help. */
enum ctl_exit {
	CTL_BAD_ARGUMENTS = -1, /* wrong words: CTL_USAGE, with the usage shown */
	CTL_OK = 0,
	CTL_REFUSED = 1, /* invalid input, or the control said no */
	CTL_USAGE = 2, /* the command line is wrong */
	CTL_CONFLICT = 3, /* edited from an older version */
	CTL_NOT_EVERYWHERE = 4, /* accepted, not yet in force everywhere */
	CTL_UNREACHABLE = 5, /* no control answered; nothing was changed */
	CTL_UNKNOWN = 6, /* sent, and can't find out whether it happened */
	CTL_DIFFERENT = 7 /* diff found differences */
};

enum ctl_format { CTL_TEXT, CTL_JSON, CTL_SVG };

struct ctl_options {
	GPtrArray *controls; /* of char *, "ip:port" of an admin listener */
	const char *token_file;
	const char *author;
	const char *output; /* file for the result, NULL: standard output */
	enum ctl_format format;
	gint64 base; /* -1: the file's own `version` */
	bool override_majority;
	guint timeout_ms; /* of one question */
	guint change_timeout_ms; /* of a change, which waits until in force */
	guint limit; /* of events, 0: all */
	struct aub_timeline_filter filter;
	char *token; /* read once needed */
};

/* An answer of a control. */
struct ctl_response {
	guint status; /* HTTP */
	JsonObject *body; /* owned; NULL where it was no JSON object */
	bool lost; /* an earlier control may have got the request, too */
};

void ctl_response_clear(struct ctl_response *answer);

/*
 * Ask the controls in turn, until one answers. A change carries an id of its
 * own, so that it may reach several of them. False with AUB_ERROR_INVALID
 * when the token or an address is missing, AUB_ERROR_AMBIGUOUS when a change
 * was sent and its answer lost, else AUB_ERROR_UNAVAILABLE.
 */
bool ctl_request(struct ctl_options *options, const char *method, const char *path,
	     const char *body, guint timeout_ms, struct ctl_response *answer,
	     GError **error);

/* Ask one listener ("ip:port") a question that changes nothing. */
bool ctl_request_one(struct ctl_options *options, const char *address,
		 const char *path, struct ctl_response *answer, GError **error);

/* GET from the controls; the body of a 200, else NULL and `*code` set. */
JsonObject *ctl_get(struct ctl_options *options, const char *path, int *code);

/* Print an answer that is no success; returns CTL_REFUSED. */
int ctl_print_refusal(const struct ctl_response *answer);
int ctl_print_error(GError *error, int code); /* frees `error` */
void ctl_print_json(JsonObject *object);

/* Commands: `words` are those after the command's own. */
typedef int ctl_command(struct ctl_options *options, char **args, guint count);

ctl_command ctl_check, ctl_diff, ctl_apply, ctl_show;
ctl_command ctl_zone, ctl_vm, ctl_upstream;
ctl_command ctl_status, ctl_watch;
ctl_command ctl_timeline, ctl_explain;

/* The story of request `id` (as the caller sent it) from log files. */
int ctl_explain_logs(const struct ctl_options *options, const char *id,
		     char **files, guint count);

/*
 * The time line from log files, merged; NULL with the error printed where one
 * can't be read. Owned by the caller.
 */
struct aub_timeline *ctl_timeline_from_logs(const struct ctl_options *options,
					  char **files, guint count);

/* A configuration in an answer; NULL where it is null or broken. */
struct aub_config *ctl_config_parse(JsonObject *object, const char *name,
				 guint64 version);
/*
 * Read ("-": standard input) and check a file; its text (owned) or NULL with
 * the error printed.
 */
char *ctl_read_inventory(const struct ctl_options *options, const char *file,
		       struct aub_inventory **inventory);
/* What a file would make of a configuration; marks stay as they are. */
struct aub_config *ctl_config_with_text(const struct aub_config *config,
				   const char *text);
/* The differences, or why there is no telling; owned by the caller. */
char *ctl_diff_text(const struct aub_config *from, const struct aub_config *to);

#endif
