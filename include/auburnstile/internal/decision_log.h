/*
 * Decisions as JSON lines on standard output, a line each.
 *
 * Bounded and never blocking: lines are collected, written when the pipe
 * takes them, and dropped past a limit; how many were dropped is said when
 * there is room again. Lines about failures may use room that lines about
 * successes may not. One log a process.
 */
#ifndef AUBURNSTILE_INTERNAL_DECISION_LOG_H
#define AUBURNSTILE_INTERNAL_DECISION_LOG_H

#include <auburnstile/timer.h>

G_BEGIN_DECLS

enum aub_log_class {
	AUB_LOG_SUCCESS, /* a request that went well */
	AUB_LOG_FAILURE, /* one that did not */
	AUB_LOG_STATE, /* what the process knows has changed */
	AUB_LOG_CLASS_COUNT
};

/* Lines are written by `timers`; NULL: only by aub_decision_log_flush(). */
void aub_decision_log_start(const char *process,
			    struct aub_timer_service *timers);
void aub_decision_log_flush(void);
void aub_decision_log_stop(void);

/* Every kind of line; docs/LOGGING.md tells their fields. */
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
	AUB_LOG_PEER_ALIVE,
	AUB_LOG_PEER_LOST,
	AUB_LOG_DATAGRAM_REFUSED,
	AUB_LOG_PLACER_ACTIVE,
	AUB_LOG_PLACER_SUSPECTED,
	AUB_LOG_PLACEMENT,
	AUB_LOG_HEALTH,
	AUB_LOG_ROLLOUT,
	AUB_LOG_ROLLOUT_STORED,
	AUB_LOG_REQUEST,
	AUB_LOG_REQUEST_FAILED,
	AUB_LOG_NOT_PLACED,
	AUB_LOG_ATTEMPT,
	AUB_LOG_LOG_DROPPED,
	AUB_LOG_EVENT_COUNT
};

struct aub_log_event_info {
	const char *name;
	enum aub_log_class kind;
	const char *help; /* what has happened, in one line */
};
const struct aub_log_event_info *aub_log_event_info(enum aub_log_event event);

/*
 * One line: begin, fields, end. Fields of a line that is dropped cost
 * nothing.
 */
void aub_log_begin(enum aub_log_event event);
void aub_log_text(const char *field, const char *value);
void aub_log_number(const char *field, gint64 value);
void aub_log_end(void);

/* Lines of a class dropped so far. */
guint64 aub_decision_log_dropped(enum aub_log_class kind);

G_END_DECLS

#endif
