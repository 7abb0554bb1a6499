/*
 * Decision log: one JSON object per line on standard output.
 *
 * The log is bounded and never blocks. Lines are buffered, written when the
 * pipe accepts them, and dropped when the buffer is full; the number of
 * dropped lines is logged once there is room again. Part of the buffer is
 * reserved for lines that don't report successes. A process has one log.
 */
#ifndef AUBURNSTILE_INTERNAL_DECISION_LOG_H
#define AUBURNSTILE_INTERNAL_DECISION_LOG_H

#include <auburnstile/timer.h>

G_BEGIN_DECLS

enum aub_log_class {
	AUB_LOG_SUCCESS, /* a successful request */
	AUB_LOG_FAILURE, /* a failed request or attempt */
	AUB_LOG_STATE, /* a change of the process's state */
	AUB_LOG_CLASS_COUNT
};

/*
 * Starts the log. Buffered lines are written by a timer of `timers`; if it is
 * NULL, by aub_decision_log_flush() only.
 */
void aub_decision_log_start(const char *process,
			    struct aub_timer_service *timers);
void aub_decision_log_flush(void);
void aub_decision_log_stop(void);

/* Types of line; docs/LOGGING.md documents their fields. */
enum aub_log_event {
	AUB_LOG_START,
	AUB_LOG_STOPPING,
	AUB_LOG_STOP,
	AUB_LOG_RELOAD,
	AUB_LOG_CONFIGURATION,
	AUB_LOG_UPSTREAM,
	AUB_LOG_ZONE,
	AUB_LOG_RECORD_REFUSED,
	AUB_LOG_STORE_LOST,
	AUB_LOG_STORE_RECOVERED,
	AUB_LOG_STORE_HISTORY_LOST,
	AUB_LOG_STORE_OUTDATED,
	AUB_LOG_STORE_INCOMPLETE,
	AUB_LOG_PEER_ALIVE,
	AUB_LOG_PEER_LOST,
	AUB_LOG_DATAGRAM_REFUSED,
	AUB_LOG_PLACER_ACTIVE,
	AUB_LOG_PLACER_SUSPECTED,
	AUB_LOG_PLACEMENT,
	AUB_LOG_HEALTH,
	AUB_LOG_EGRESS,
	AUB_LOG_UPSTREAM_LIMIT,
	AUB_LOG_UPSTREAM_REST,
	AUB_LOG_UPSTREAM_LEAVING,
	AUB_LOG_QUOTA,
	AUB_LOG_RETRY_COUNTS,
	AUB_LOG_ROLLOUT,
	AUB_LOG_ROLLOUT_STORED,
	AUB_LOG_REQUEST,
	AUB_LOG_REQUEST_FAILED,
	AUB_LOG_NOT_PLACED,
	AUB_LOG_ATTEMPT,
	AUB_LOG_RELAYED,
	AUB_LOG_RELAY_FAILED,
	AUB_LOG_LOG_DROPPED,
	AUB_LOG_EVENT_COUNT
};

struct aub_log_event_info {
	const char *name;
	enum aub_log_class kind;
	const char *help; /* one-line description, as in docs/LOGGING.md */
};
const struct aub_log_event_info *aub_log_event_info(enum aub_log_event event);

/*
 * A line is written by aub_log_begin(), one call per field, and aub_log_end().
 * Fields of a dropped line are not formatted.
 */
void aub_log_begin(enum aub_log_event event);
void aub_log_text(const char *field, const char *value);
void aub_log_number(const char *field, gint64 value);
void aub_log_end(void);

/* Returns how many lines of a class have been dropped since the start. */
guint64 aub_decision_log_dropped(enum aub_log_class kind);

G_END_DECLS

#endif
