/*
 * Answers made by the entry itself, and the fingerprint of a call.
 */
#ifndef AUBURNSTILE_INTERNAL_ANSWER_H
#define AUBURNSTILE_INTERNAL_ANSWER_H

#include <auburnstile/dispatch.h>
#include <auburnstile/message.h>

G_BEGIN_DECLS

/* Provably not run. `retry_after_ms` 0: coming back doesn't help. */
struct aub_answer *aub_answer_not_run(guint status, const char *reason,
				      guint32 retry_after_ms);

/* As above, for a dispatcher's refusal. */
struct aub_answer *aub_answer_refusal(enum aub_refusal refusal,
				      guint32 retry_after_ms);

/* It may have run, and is not run again. */
struct aub_answer *aub_answer_outcome_unknown(const char *reason);

struct aub_answer *aub_answer_copy(const struct aub_answer *answer);

/*
 * First bytes of a digest over method, path and body: tells requests apart
 * that bring upstreams down.
 */
guint64 aub_call_fingerprint(const struct aub_call *call);

G_END_DECLS

#endif
