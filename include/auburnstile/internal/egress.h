/*
 * Whether this gateway itself reaches the upstreams.
 *
 * Pure decision logic: no clock or socket. A gateway may lose its links to all
 * upstreams, or to some, while callers, the store and the other gateways still
 * reach it. Failures at several upstreams with no answer in between, or silence
 * of all, are put to the test by requests to health endpoints on new
 * connections ("checks"). Only checks decide: answers on connections that were
 * open before say nothing of new ones.
 */
#ifndef AUBURNSTILE_INTERNAL_EGRESS_H
#define AUBURNSTILE_INTERNAL_EGRESS_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

enum aub_egress_state {
	AUB_EGRESS_UP,
	AUB_EGRESS_SUSPECT, /* checks are under way */
	AUB_EGRESS_DOWN /* no upstream answers this gateway */
};

enum aub_egress_failure {
	AUB_EGRESS_UNREACHABLE, /* no connection */
	AUB_EGRESS_RESET /* an open connection broke without an answer */
};

struct aub_egress {
	enum aub_egress_state state;
	guint outstanding; /* requests sent directly that have not ended */
	/* when the present silence began; 0: nothing is outstanding */
	gint64 silent_since_us;
	gint64 heard_us; /* last answer of any upstream */
	gint64 next_round_us; /* no round of checks starts earlier */
	guint round_size; /* checks in the last round */
	guint round_open; /* of these, not ended yet */
	guint round_answered;
	GHashTable *failed; /* id -> struct egress_failure */
	/* upstreams that answered a check while down: id -> gint64 * */
	GHashTable *reached;
};

void aub_egress_init(struct aub_egress *egress);
void aub_egress_clear(struct aub_egress *egress);

/* A request is sent to an upstream, and has ended in whatever way. */
void aub_egress_on_sent(struct aub_egress *egress, gint64 now_us);
void aub_egress_on_ended(struct aub_egress *egress);
/* Bytes of an answer arrived from some upstream. */
void aub_egress_on_answer(struct aub_egress *egress, gint64 now_us);
void aub_egress_on_failure(struct aub_egress *egress, const char *upstream,
			   enum aub_egress_failure failure, gint64 now_us);

/* Returns how many upstreams to check now; 0: none. */
guint aub_egress_checks_due(struct aub_egress *egress, gint64 now_us);
/* Returns when a check may be due next; G_MAXINT64: not before an event. */
gint64 aub_egress_next_due_us(const struct aub_egress *egress);
/* Called when `started` of the due checks have been started; may be 0. */
void aub_egress_begin_round(struct aub_egress *egress, guint started,
			    gint64 now_us);
/* The result of a check of a round, or of a recheck. */
void aub_egress_on_check_ended(struct aub_egress *egress, const char *upstream,
			       bool answered, bool in_round, gint64 now_us);
/*
 * Returns an upstream that could not be reached although others can, and whose
 * next check is due; NULL if there is none. Borrowed until the next call.
 */
const char *aub_egress_recheck_due(struct aub_egress *egress, gint64 now_us);

/* Returns whether requests to `upstream` need another gateway's links. */
bool aub_egress_needs_relay(const struct aub_egress *egress,
			    const char *upstream, gint64 now_us);
/*
 * Returns whether a failure may be due to this gateway's own links: there were
 * failures since the last answer, or checks are under way.
 */
bool aub_egress_is_in_doubt(const struct aub_egress *egress);
/* Returns whether nothing was heard for long while requests are outstanding. */
bool aub_egress_is_silent(const struct aub_egress *egress, gint64 now_us);

const char *aub_egress_state_name(enum aub_egress_state state);

G_END_DECLS

#endif
