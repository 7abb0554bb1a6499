/* Answers that the entry makes itself, and the fingerprint of a call. */
#ifndef AUBURNSTILE_INTERNAL_ANSWER_H
#define AUBURNSTILE_INTERNAL_ANSWER_H

#include <auburnstile/dispatch.h>
#include <auburnstile/message.h>

G_BEGIN_DECLS

/*
 * Returns an answer which states that the request did not run. With
 * `retry_after_ms` 0 the answer doesn't suggest a retry.
 */
struct aub_answer *aub_answer_not_run(guint status, const char *reason,
				      guint32 retry_after_ms);

/* Returns a "not run" answer for a dispatcher's refusal. */
struct aub_answer *aub_answer_refusal(enum aub_refusal refusal,
				      guint32 retry_after_ms);

/* Returns an answer for a request that may have run and is not retried. */
struct aub_answer *aub_answer_outcome_unknown(const char *reason);

/* Returns a deep copy. */
struct aub_answer *aub_answer_copy(const struct aub_answer *answer);

/*
 * Returns the first bytes of a digest over method, path and body. It identifies
 * requests that crash upstreams.
 */
guint64 aub_call_fingerprint(const struct aub_call *call);

G_END_DECLS

#endif
